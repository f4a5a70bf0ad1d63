"""A member without a head, the lightest real process that runs the cluster's composition; run as a module by the rig.

The words are its control address and its `[cluster]` as JSON. It tells `/ops/cluster` as a head does.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

from hophinge.cluster.interface import Topic
from hophinge.head.cluster_member import ClusterMember
from hophinge.head.sections import ClusterConfig


async def main() -> None:
    host, _, port = sys.argv[1].rpartition(":")
    told = json.loads(sys.argv[2])
    member = ClusterMember(
        ClusterConfig(**{**told, "key_file": Path(told["key_file"])}), "", lambda text: print(text, flush=True)
    )
    entry = f"{len(told['name'])} of {told['name']}".encode()

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        line = (await reader.readuntil(b"\r\n\r\n")).split()
        said = {
            **member.status(),
            "entries": {one.owner: one.value.decode() for one in member.entries.entries(Topic.DRAINS)},
        }
        if line[1].startswith(b"/put/"):
            member.entries.put(Topic.DRAINS, "own", line[1][5:])
        body = b"ready\n" if line[1] == b"/ops/readiness" else json.dumps(said).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(answer, host, int(port))
    member.start()
    member.entries.put(Topic.DRAINS, "own", entry)
    ending = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, ending.set)
    await ending.wait()
    member.leave()
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
