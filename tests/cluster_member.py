"""A member in its own process, for tests and the benchmark: settings as JSON, commands on its stdin."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

ROOT = Path(__file__).parent.parent
KEY = "the key of the tests, long enough"


async def serve(settings: dict[str, Any]) -> None:
    from hophinge.cluster.interface import Topic
    from hophinge.cluster.tuning import Tuning
    from hophinge.core.errors import HophingeError
    from hophinge.head.cluster_member import ClusterMember
    from hophinge.head.sections import ClusterConfig

    tuning = Tuning(**settings.pop("tuning", {}))
    settings["key_file"] = Path(settings["key_file"])
    try:
        member = ClusterMember(ClusterConfig(**settings), "", lambda text: print(text, file=sys.stderr), tuning=tuning)
    except HophingeError as error:
        print(json.dumps({"error": error.one_line()}), flush=True)
        return
    member.start()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, member.reload)
    words: asyncio.Queue[list[str]] = asyncio.Queue()

    def readable() -> None:
        for line in os.read(0, 4096).decode().splitlines() or ["end"]:
            words.put_nowait(line.split())

    loop.add_reader(0, readable)
    print(json.dumps({"address": member.endpoint.address}), flush=True)
    while (word := await words.get()) != ["end"]:
        if word[0] == "put":
            member.entries.put(Topic(word[1]), word[2], word[3].encode())
        elif word[0] == "leave":
            member.leave()
        said = member.status() | {
            "cpu_s": time.process_time(),
            "entries": sorted(
                [one.owner, one.key, one.value.decode()] for topic in Topic for one in member.entries.entries(topic)
            ),
        }
        print(json.dumps(said), flush=True)


class MemberProcess:
    """A member that was started; it responds to every command with its status."""

    def __init__(self, folder: Path, name: str, seeds: list[str], listen: str = "127.0.0.1:0", **more: Any) -> None:
        key_file = folder / f"{name}.key"
        if not key_file.exists():
            key_file.write_text(KEY + "\n")
        settings = {"name": name, "listen": listen, "seeds": seeds, "key_file": str(key_file), **more}
        self.name, self.key_file, self.stopped = name, key_file, False
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.cluster_member", json.dumps(settings)],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        first = self.read()
        self.error, self.address = first.get("error", ""), first.get("address", "")

    def read(self) -> dict[str, Any]:
        out: IO[bytes] | None = self.process.stdout
        assert out is not None
        found: dict[str, Any] = json.loads(out.readline() or "{}")
        return found

    def request(self, command: str = "status") -> dict[str, Any]:
        assert self.process.stdin is not None
        self.process.stdin.write(command.encode() + b"\n")
        self.process.stdin.flush()
        return self.read()

    def member_states(self) -> dict[str, str]:
        return {one["name"]: one["standing"] for one in self.request()["members"]}

    def signal(self, number: signal.Signals) -> None:
        self.process.send_signal(number)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None:
                pipe.close()


def free_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
        one.bind(("127.0.0.1", 0))
        port: int = one.getsockname()[1]
        return port


def wait_for(condition: Callable[[], bool], timeout_s: float = 60.0) -> bool:
    """Wait until a condition holds; returns False on timeout."""
    end = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(0.05)
    return True


if __name__ == "__main__":
    import uvloop

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(serve(json.loads(sys.argv[1])))
