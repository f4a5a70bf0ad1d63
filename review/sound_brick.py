"""A stand-in for one brick, as the operators' pages describe it: `python3 sound_brick.py FILE`, FILE with its settings.

It registers by heartbeats, serves prefill, decode or plain requests, and writes what it gets and does to a log, one
JSON object a line. The settings may name how it behaves; without that it is a sound brick.
"""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

Fields = dict[str, str]


class Brick:
    """One brick."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.identity = "i-" + secrets.token_hex(5)
        self.stage: str = settings.get("stage", "")
        self.state = "ready"
        self.sequence = 0
        self.orders = 0
        self.highest_fence = 0
        self.busy = False
        self.running = 0
        self.handles: dict[str, float] = {}
        self.random = random.Random(settings.get("seed"))
        self.log = Path(settings["log"])
        self.tasks: set[asyncio.Task[None]] = set()
        self.ended = asyncio.Event()
        self.address = ""
        self.overrides: Callable[[Brick, str, Fields], bytes | None] | None = None

    def note(self, event: str, **fields: object) -> None:
        """Write one line to the log."""
        row = {"t": round(time.monotonic(), 4), "brick": self.identity, "event": event, **fields}
        with self.log.open("a", encoding="utf-8") as log:
            log.write(json.dumps(row) + "\n")

    async def run(self) -> None:
        """Serve until the end."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, lambda: loop.create_task(self.leave()))
        server = await asyncio.start_server(self.serve, self.settings["ip"], self.settings.get("port", 0))
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        self.note("started", address=self.address, stage=self.stage, service=self.settings["service"])
        beats = loop.create_task(self.beat_forever())
        await self.ended.wait()
        beats.cancel()

    # --- registration --------------------------------------------------------------------------------------------

    async def beat_forever(self) -> None:
        """Send heartbeats; `heartbeat_s` apart."""
        while True:
            await self.beat()
            await asyncio.sleep(self.settings.get("heartbeat_s", 1.2))

    async def beat(self) -> bool:
        """Send one heartbeat, to the next head if one does not acknowledge it."""
        self.sequence += 1
        body = {
            "service": self.settings["service"],
            "address": self.settings.get("advertise", self.address),
            "zone": self.settings["zone"],
            "version": "v1",
            "slots": self.settings.get("slots", 64),
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.sequence,
        }
        if self.stage:
            body |= {"stage": self.stage, "models": [{"name": "m", "version": 1, "adapters": []}]}
        return await self.call_any("PUT", json.dumps(body).encode())

    async def call_any(self, method: str, body: bytes) -> bool:
        """Call the control addresses, nearest first, until one answers with a 2xx within a second."""
        for address in self.settings["controls"]:
            try:
                async with asyncio.timeout(1.0):
                    status = await call(address, method, f"/v1/instances/{self.identity}", body)
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                continue
            if 200 <= status < 300:
                return True
        return False

    async def leave(self) -> None:
        """End as planned: say so, serve on for `drain_s` and a little longer, unregister, end."""
        self.state = "draining"
        self.note("leaving")
        until = time.monotonic() + 6.0
        while not await self.beat() and time.monotonic() < until:
            await asyncio.sleep(0.3)
        self.note("acknowledged")
        await asyncio.sleep(self.settings.get("drain_s", 2.0) + 0.6)
        await self.call_any("DELETE", b"")
        self.note("ended")
        self.ended.set()

    # --- requests ------------------------------------------------------------------------------------------------

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection, one after another."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head[:-4].decode("latin-1").split("\r\n")
                method, target, _ = first.split(" ", 2)
                fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                self.note(
                    "arrived",
                    id=fields.get("hophinge-request-id"),
                    method=method,
                    target=target,
                    fields=fields,
                    body=len(body),
                )
                work = asyncio.ensure_future(self.respond(method, target, fields, body, writer))
                left = asyncio.ensure_future(self.wait_for_close(reader))
                await asyncio.wait({work, left}, return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    work.cancel()
                    self.note("dropped", id=fields.get("hophinge-request-id"))
                    break
                left.cancel()
                if not work.result():
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def wait_for_close(reader: asyncio.StreamReader) -> None:
        """Return when the caller has closed the connection."""
        while not reader.at_eof():
            await asyncio.sleep(0.02)
            if reader._buffer:  # type: ignore[attr-defined]
                await asyncio.sleep(3600)

    async def respond(
        self, method: str, target: str, fields: Fields, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer one request; return whether the connection stays open."""
        expected = fields.get("hophinge-expected-instance")
        name = fields.get("hophinge-request-id", "")
        if expected and expected != self.identity:
            self.note("misdirected", id=name)
            return await send(writer, 421, [("Hophinge-Instance-Id", self.identity)], b"", name)
        if target == "/v1/report":
            return await send(writer, 200, [("Content-Type", "application/json")], self.report(), "")
        if target == "/v1/order":
            return await self.take_order(json.loads(body), writer)
        if target.startswith("/take/"):
            is_there = self.handles.pop(target.removeprefix("/take/"), 0.0) > time.monotonic()
            return await send(writer, 200 if is_there else 404, [], b"", "")
        if method == "DELETE":
            self.handles.pop(target.rsplit("/", 1)[1], None)
            return await send(writer, 200, [], b"", "")
        if target == "/health":
            return await send(writer, 200 if self.state == "ready" else 503, [], b"", "")
        shed = self.settings.get("shed", 0.0)
        wants_prefill = fields.get("hophinge-serving-stage") == "prefill"
        if self.busy or (shed and self.random.random() < shed):
            return await self.reject(writer, name)
        if self.stage and wants_prefill != (self.stage == "prefill"):
            return await send(writer, 421, [("Hophinge-Instance-Id", self.identity)], b"", name)
        if wants_prefill:
            await asyncio.sleep(self.settings.get("prefill_s", 0.02))
            handle = secrets.token_hex(6)
            self.handles[handle] = time.monotonic() + 5.0
            self.note("prefilled", id=name, handle=handle)
            answer = {"prefill-handle": handle, "tokens": tokens(fields)[0], "version": 1}
            return await send(writer, 200, [("Content-Type", "application/json")], json.dumps(answer).encode(), name)
        if "kv-from" in fields:
            address, _, handle = fields["kv-from"].partition("/")
            try:
                status = await call(address, "GET", f"/take/{handle}", b"")
            except (OSError, ValueError, asyncio.IncompleteReadError):
                status = 0
            if status != 200:
                return await self.reject(writer, name)
        self.note("runs", id=name, target=target, kv=fields.get("kv-from"), after=fields.get("last-event-id"))
        self.running += 1
        try:
            return await (self.stream(fields, writer) if self.stage else self.plain(fields, writer))
        finally:
            self.running -= 1

    async def reject(self, writer: asyncio.StreamWriter, name: str) -> bool:
        """Say that the request is not run."""
        self.note("rejected", id=name)
        return await send(writer, 503, [("Hophinge-Not-Executed", "1")], b"", name)

    async def plain(self, fields: Fields, writer: asyncio.StreamWriter) -> bool:
        """Run a request of a service without stages."""
        await asyncio.sleep(self.settings.get("work_s", 0.02))
        name = fields.get("hophinge-request-id", "")
        body = f"done {name} {secrets.token_hex(200)}".encode()
        self.note("done", id=name)
        return await send(writer, 200, [("Hophinge-Server-Signature", f"{self.identity}.{name}")], body, name)

    async def stream(self, fields: Fields, writer: asyncio.StreamWriter) -> bool:
        """Run a generation: events with rising ids, each written in two parts."""
        name = fields.get("hophinge-request-id", "")
        first = int(fields.get("last-event-id", "0")) + 1
        last = tokens(fields)[1]
        is_framed = self.settings.get("framing", "chunked") == "chunked"
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Hophinge-Request-Id: {name}",
            f"Hophinge-Server-Signature: {self.identity}.{name}",
            "Versions: 1",
            "Transfer-Encoding: chunked" if is_framed else "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())

        async def write(data: bytes) -> None:
            writer.write(b"%x\r\n%s\r\n" % (len(data), data) if is_framed else data)
            await writer.drain()

        pause = self.settings.get("event_s", 0.05)
        for number in range(first, last + 1):
            await asyncio.sleep(pause / 2)
            event = f"id: {number}\ndata: {name} piece {number} of {last}\n\n".encode()
            half = len(event) // 2
            await write(event[:half])
            self.note("half", id=name, number=number)
            await asyncio.sleep(self.settings.get("half_s", pause / 2))
            await write(event[half:])
            self.note("whole", id=name, number=number)
        if is_framed:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("done", id=name)
        return is_framed

    def report(self) -> bytes:
        """Return the body of a load report."""
        report = {
            "stage": self.stage,
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.busy,
            "sequence": self.orders,
            "waiting": 0,
            "running": self.running,
            "kv-used": 0,
            "kv-total": 441_937,
            "handles": len(self.handles),
        }
        return json.dumps(report).encode()

    async def take_order(self, order: dict[str, Any], writer: asyncio.StreamWriter) -> bool:
        """Take an order to change the stage."""
        fence = order["fence-token"]
        status = 202
        if fence < self.highest_fence:
            status = 412
        elif self.busy:
            status = 409
        elif order["stage"] == self.stage:
            status = 200
        self.highest_fence = max(self.highest_fence, fence)
        self.note("order", order=order, status=status)
        if status == 202:
            self.orders += 1
            task = asyncio.create_task(self.switch(order["stage"]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return await send(writer, status, [], b"", "")

    async def switch(self, stage: str) -> None:
        """Change the stage."""
        self.busy = True
        await asyncio.sleep(self.settings.get("switch_s", 2.3))
        self.stage = stage
        self.busy = False
        self.note("switched", stage=stage)


def tokens(fields: Fields) -> tuple[int, int]:
    """Return the tokens of the prompt and the most that go out."""
    prompt, _, out = fields.get("hophinge-token-usage", "0,5").partition(",")
    return int(prompt), int(out)


async def send(
    writer: asyncio.StreamWriter, status: int, fields: list[tuple[str, str]], body: bytes, name: str
) -> bool:
    """Send an answer with its length; the connection stays open."""
    lines = [f"HTTP/1.1 {status} -", f"Content-Length: {len(body)}", *(f"{key}: {value}" for key, value in fields)]
    if name:
        lines.append(f"Hophinge-Request-Id: {name}")
    writer.write("\r\n".join([*lines, "", ""]).encode() + body)
    await writer.drain()
    return True


async def call(address: str, method: str, target: str, body: bytes) -> int:
    """Send one request on a connection of its own; return the status of the answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        head = f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n"
        writer.write(head.encode() + b"Content-Type: application/json\r\n\r\n" + body)
        line = await reader.readline()
        return int(line.split(b" ", 2)[1]) if line.count(b" ") else 0
    finally:
        writer.close()


def main(run: Callable[[Brick], Awaitable[None]] = Brick.run) -> None:
    """Run a brick with the settings of the file that the command line names."""
    settings = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))

    async def serve() -> None:
        await run(Brick(settings))

    asyncio.run(serve())


if __name__ == "__main__":
    main()
