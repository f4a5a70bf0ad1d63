"""A member that holds the key and lies, in a process of its own; run as a module by the rig.

The words are its control address, its `[cluster]` and its lies as JSON: entries of its own by topic, and whom it
accuses to everybody, in the name of ever another accuser. What it knows of others it learns as any member does.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from pathlib import Path

from hophinge.cluster.datagram import seal_datagram
from hophinge.cluster.interface import Topic
from hophinge.cluster.messages import DEAD, SUSPECT, MemberRecord, encode_message
from hophinge.head.cluster_member import ClusterMember
from hophinge.head.sections import ClusterConfig

BETWEEN_S = 0.3


def accuse(member: ClusterMember, victim: str, number: int) -> None:
    """Tell everybody that a member is suspect, and that it is dead, by one accuser and another."""
    machine, socket = member.endpoint.machine, member.endpoint.socket
    own = machine.core.members.record(victim)
    if own is None:
        return
    words = [
        MemberRecord(own.name, own.address, own.incarnation, standing, accuser=f"accuser-{number}")
        for standing in (SUSPECT, DEAD)
    ]
    data = seal_datagram(
        machine.core.keys[0], "ghost", machine.core.generation, number, [encode_message(word) for word in words]
    )
    for other in machine.core.members.others():
        host, _, port = other.address.rpartition(":")
        socket.sendto(data, (host, int(port)))


async def main() -> None:
    told, lies = json.loads(sys.argv[2]), json.loads(sys.argv[3])
    member = ClusterMember(
        ClusterConfig(**{**told, "key_file": Path(told["key_file"])}), "", lambda text: print(text, flush=True)
    )
    host, _, port = sys.argv[1].rpartition(":")
    numbers = itertools.count(1)

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        body = json.dumps(member.status()).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        writer.close()

    await asyncio.start_server(answer, host, int(port))
    member.start()
    while True:
        number = next(numbers)
        for topic, key, values in lies["entries"]:  # in turn, so that the word stays fresh
            member.entries.put(Topic(topic), key, bytes.fromhex(values[number // 4 % len(values)]))
        accuse(member, lies["accuses"], number)
        await asyncio.sleep(BETWEEN_S)


if __name__ == "__main__":
    asyncio.run(main())
