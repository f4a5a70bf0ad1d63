"""The relay between processes: each knows its peers at addresses of the relay, which forwards by the network's rules.

A name's datagram socket is its address for others. What a peer sends there is forwarded to the name's real address, and
leaves from the *sender's* socket of the relay: so an answer to the address that a datagram came from goes through the
relay too. A peer is known by its real address, from which it has to send. Streams have a socket for each ordered pair,
as the port that a client connects from identifies nobody.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import cast

from hophinge.load.rig.link_rules import UNKNOWN_SENDER, Network
from hophinge.net.address import split

MAX_DELAYED = 50_000  # datagrams; beyond, they are dropped and counted
CHUNK = 16_384  # bytes of a stream that are forwarded together
Address = tuple[str, int]


class RelayPort(asyncio.DatagramProtocol):
    """A name's socket at the relay."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay = relay
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass of it

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram to this name."""
        self.relay.forward(addr, self.name, data)

    def error_received(self, exc: Exception) -> None:
        """Count what the kernel reports of a process that has exited; a sender on a network would not learn it."""
        self.relay.network.counts["refused"] += 1


class Relay:
    """All datagram sockets and streams between the processes of one run."""

    def __init__(self, network: Network, host: str) -> None:
        self.network = network
        self.host = host
        self.ports: dict[str, RelayPort] = {}
        self.real_addresses: dict[str, Address] = {}
        self.names_by_address: dict[Address, str] = {}
        self.sent_bytes: Counter[str] = Counter()  # by sender, without headers
        self.sent_datagrams: Counter[str] = Counter()
        self.delayed = 0
        self.servers: list[asyncio.Server] = []
        self.streams: set[asyncio.Task[None]] = set()
        self.links_changed = asyncio.Event()
        network.listeners.append(self._on_links_changed)

    async def register(self, name: str, real: str) -> str:
        """Return a name's address at the relay; `real`, where it listens and sends from, may change."""
        if UNKNOWN_SENDER not in self.ports and name != UNKNOWN_SENDER:
            await self.register(UNKNOWN_SENDER, f"{self.host}:0")
        if (before := self.real_addresses.get(name)) is not None:
            self.names_by_address.pop(before, None)
        self.real_addresses[name] = split(real)
        if name != UNKNOWN_SENDER:
            self.names_by_address[self.real_addresses[name]] = name
        if name not in self.ports:
            _, port = await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: RelayPort(self, name), local_addr=(self.host, 0)
            )
            self.ports[name] = port
        return self.address(name)

    def address(self, name: str) -> str:
        """Return a name's address at the relay."""
        transport = self.ports[name].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def forward(self, came_from: Address, target: str, data: bytes) -> None:
        """Forward a datagram as often and as late as the network's rules say."""
        source = self.names_by_address.get(came_from[:2], UNKNOWN_SENDER)
        self.sent_bytes[source] += len(data)
        self.sent_datagrams[source] += 1
        if target == UNKNOWN_SENDER:
            return
        for after_us in self.network.next_datagram(source, target):
            if not after_us:
                self._deliver(source, target, data)
            elif self.delayed >= MAX_DELAYED:
                self.network.counts["too many"] += 1
            else:
                self.delayed += 1
                asyncio.get_running_loop().call_later(after_us / 1e6, self._deliver_delayed, source, target, data)

    def _deliver_delayed(self, source: str, target: str, data: bytes) -> None:
        self.delayed -= 1
        # What was in flight when the link was blocked is lost as well.
        if (source, target) not in self.network.blocked_links:
            self._deliver(source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        transport = self.ports[source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.real_addresses[target])

    def _on_links_changed(self) -> None:
        news, self.links_changed = self.links_changed, asyncio.Event()
        news.set()

    # --- streams

    async def open_stream_address(self, source: str, target: str, real: str) -> str:
        """Return an address at which `source` reaches `target`, whose streams listen at `real`."""
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
            while await self._segment_delay_us(source, target) is None:  # a blocked link delays a connection too
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

    async def _segment_delay_us(self, source: str, target: str) -> int | None:
        """Return the delay of the next segment; waits while the link is blocked, and then returns None."""
        found = self.network.next_segment(source, target)
        if found is None:
            await self.links_changed.wait()
        return found

    async def _pump(self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await reader.read(CHUNK)
            while (after_us := await self._segment_delay_us(source, target)) is None:
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
        """Stop forwarding."""
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
