"""The relay between processes: each is told its peers at addresses of the relay, which carries by the network's word.

A name's datagram socket is its address for others. What a peer sends there goes on to the name's real address, and
leaves from the *sender's* socket of the relay: so whoever answers the address that a datagram came from goes through
the relay too. A peer is known by its real address, from which it has to send. Streams have a socket for each ordered
pair, as the port that a client connects from tells nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import cast

from hophinge.load.rig.datagrams import STRANGER, Network
from hophinge.net.address import split

MAX_WAITING = 50_000  # datagrams under way; what comes beyond is lost, and counted
CHUNK = 16_384  # bytes of a stream that travel together
Address = tuple[str, int]


class Port(asyncio.DatagramProtocol):
    """A name's socket at the relay."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay, self.name = relay, name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass of it

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take what is for this name."""
        self.relay.carry(addr, self.name, data)

    def error_received(self, exc: Exception) -> None:
        """Count what the kernel says of a process that is gone; a sender on the network would not hear it."""
        self.relay.network.figures["refused"] += 1


class Relay:
    """All datagram sockets and streams between the processes of one run."""

    def __init__(self, network: Network, host: str) -> None:
        self.network, self.host = network, host
        self.ports: dict[str, Port] = {}
        self.real: dict[str, Address] = {}
        self.names: dict[Address, str] = {}
        self.sent: Counter[str] = Counter()  # bytes by sender, as they came, headers not counted
        self.datagrams: Counter[str] = Counter()
        self.waiting = 0
        self.servers: list[asyncio.Server] = []
        self.streams: set[asyncio.Task[None]] = set()
        self.news = asyncio.Event()
        network.changed.append(self._changed)

    async def member(self, name: str, real: str) -> str:
        """Give a name its address at the relay; `real`, where it listens and sends from, may be told anew."""
        if STRANGER not in self.ports and name != STRANGER:
            await self.member(STRANGER, f"{self.host}:0")
        if (before := self.real.get(name)) is not None:
            self.names.pop(before, None)
        self.real[name] = split(real)
        if name != STRANGER:
            self.names[self.real[name]] = name
        if name not in self.ports:
            _, port = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: Port(self, name), local_addr=(self.host, 0)
            )
            self.ports[name] = port
        return self.address(name)

    def address(self, name: str) -> str:
        """Tell a name's address at the relay."""
        transport = self.ports[name].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def carry(self, came_from: Address, target: str, data: bytes) -> None:
        """Let a datagram come as often and as late as the network says."""
        source = self.names.get(came_from[:2], STRANGER)
        self.sent[source] += len(data)
        self.datagrams[source] += 1
        if target == STRANGER:
            return
        for after_us in self.network.fate(source, target):
            if not after_us:
                self._put(source, target, data)
            elif self.waiting >= MAX_WAITING:
                self.network.figures["too many"] += 1
            else:
                self.waiting += 1
                asyncio.get_running_loop().call_later(after_us / 1e6, self._late, source, target, data)

    def _late(self, source: str, target: str, data: bytes) -> None:
        self.waiting -= 1
        # What was on its way when the link was cut does not come either.
        if (source, target) not in self.network.cuts:
            self._put(source, target, data)

    def _put(self, source: str, target: str, data: bytes) -> None:
        transport = self.ports[source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.real[target])

    def _changed(self) -> None:
        news, self.news = self.news, asyncio.Event()
        news.set()

    # --- streams

    async def stream(self, source: str, target: str, real: str) -> str:
        """Tell an address at which `source` reaches `target`, whose streams listen at `real`."""
        host, port = split(real)

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(self._connected(source, target, (host, port), reader, writer))
            self.streams.add(task)
            task.add_done_callback(self.streams.discard)

        server = await asyncio.start_server(accept, self.host, 0)
        self.servers.append(server)
        found = server.sockets[0].getsockname()
        return f"{found[0]}:{found[1]}"

    async def _connected(
        self, source: str, target: str, real: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        other: asyncio.StreamWriter | None = None
        pumps: list[asyncio.Task[None]] = []
        try:
            while await self._held(source, target) is None:  # a connection does not come through a cut either
                pass
            back, other = await asyncio.open_connection(*real)
            pumps = [
                asyncio.create_task(self._pump(source, target, reader, other)),
                asyncio.create_task(self._pump(target, source, back, writer)),
            ]
            await asyncio.gather(*pumps)
        except OSError:
            pass  # a broken connection: both sides are dropped below
        finally:
            for pump in pumps:
                pump.cancel()
            for one in (writer, other):
                if one is not None:
                    one.transport.abort()

    async def _held(self, source: str, target: str) -> int | None:
        """Wait while the link is cut; tells how late the next segment comes, or None to ask again."""
        found = self.network.stream(source, target)
        if found is None:
            await self.news.wait()
        return found

    async def _pump(self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await reader.read(CHUNK)
            while (after_us := await self._held(source, target)) is None:
                pass
            if after_us:
                await asyncio.sleep(after_us / 1e6)
            if not data:
                if writer.can_write_eof():
                    with contextlib.suppress(OSError, RuntimeError):
                        writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def close(self) -> None:
        """Carry no more."""
        for server in self.servers:
            server.close()
        for task in list(self.streams):
            task.cancel()
        await asyncio.gather(*self.streams, return_exceptions=True)
        for port in self.ports.values():
            if port.transport is not None:
                port.transport.close()
        self.ports.clear()
        await asyncio.sleep(0)  # a transport is closed one turn of the loop later
