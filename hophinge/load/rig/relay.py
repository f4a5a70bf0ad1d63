"""The relay between processes, which reach their peers at its addresses and whose traffic it forwards by link rules.

Each name has a datagram socket at the relay, whose address the peers use. The relay forwards what they send there to
the real address of the name, through the socket of the *sender*, so that a response to the source address of a datagram
passes through the relay too. It recognizes a peer by its real address, so a peer has to send from there. Streams have
one listening socket for each ordered pair of names, as the port that a client connects from does not identify it.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import Counter
from typing import cast

from hophinge.load.rig.link_rules import UNKNOWN_SENDER, Network
from hophinge.net.address import split

MAX_DELAYED_DATAGRAMS = 50_000  # further ones are dropped and counted
CHUNK_BYTES = 16_384  # of a stream, forwarded as one segment
Address = tuple[str, int]


class RelayPort(asyncio.DatagramProtocol):
    """The datagram socket of a name at the relay."""

    def __init__(self, relay: Relay, name: str) -> None:
        self.relay = relay
        self.name = name
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's class is not a subclass of it

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Forward a datagram that was sent to this name."""
        self.relay.forward(addr, self.name, data)

    def error_received(self, exc: Exception) -> None:
        """Count an error of sending to a process that has exited; the sender is not informed, as on a real network."""
        self.relay.network.counts["refused"] += 1


class Relay:
    """Forwards datagrams and streams between the processes of one run."""

    def __init__(self, network: Network, host: str) -> None:
        self.network = network
        self.host = host
        self.ports: dict[str, RelayPort] = {}
        self.real_addresses: dict[str, Address] = {}
        self.names_by_address: dict[Address, str] = {}
        self.sent_bytes: Counter[str] = Counter()  # by sender, without IP and UDP headers
        self.sent_datagrams: Counter[str] = Counter()
        self.delayed = 0
        self.servers: list[asyncio.Server] = []
        self.streams: set[asyncio.Task[None]] = set()
        self.links_changed = asyncio.Event()
        network.listeners.append(self._on_links_changed)

    async def register(self, name: str, real: str) -> str:
        """Register a name, and return its address at the relay.

        `real` is the address that it listens on and sends from; another call for the same name replaces it.
        """
        if UNKNOWN_SENDER not in self.ports and name != UNKNOWN_SENDER:
            await self.register(UNKNOWN_SENDER, f"{self.host}:0")
        if (old_address := self.real_addresses.get(name)) is not None:
            self.names_by_address.pop(old_address, None)
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
        """Return the address of a registered name at the relay."""
        transport = self.ports[name].transport
        assert transport is not None
        host, port = transport.get_extra_info("sockname")[:2]
        return f"{host}:{port}"

    def forward(self, sender: Address, target: str, data: bytes) -> None:
        """Forward the copies of a datagram, each with its delay, as the rules of its link decide."""
        source = self.names_by_address.get(sender[:2], UNKNOWN_SENDER)
        self.sent_bytes[source] += len(data)
        self.sent_datagrams[source] += 1
        if target == UNKNOWN_SENDER:
            return
        for delay_us in self.network.next_datagram(source, target):
            if not delay_us:
                self._deliver(source, target, data)
            elif self.delayed >= MAX_DELAYED_DATAGRAMS:
                self.network.counts["too many"] += 1
            else:
                self.delayed += 1
                asyncio.get_running_loop().call_later(delay_us / 1e6, self._deliver_delayed, source, target, data)

    def _deliver_delayed(self, source: str, target: str, data: bytes) -> None:
        self.delayed -= 1
        # A datagram is also lost if its link is blocked at the end of its delay.
        if (source, target) not in self.network.blocked_links:
            self._deliver(source, target, data)

    def _deliver(self, source: str, target: str, data: bytes) -> None:
        transport = self.ports[source].transport
        if transport is not None and not transport.is_closing():
            transport.sendto(data, self.real_addresses[target])

    def _on_links_changed(self) -> None:
        changed, self.links_changed = self.links_changed, asyncio.Event()
        changed.set()

    # --- streams

    async def open_stream_address(self, source: str, target: str, real: str) -> str:
        """Listen for streams from `source` to `target`, which listens on `real`; returns the address to connect to."""
        host, port = split(real)

        def accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            task = asyncio.create_task(self._forward_stream(source, target, (host, port), reader, writer))
            self.streams.add(task)
            task.add_done_callback(self.streams.discard)

        server = await asyncio.start_server(accept, self.host, 0)
        self.servers.append(server)
        sockname = server.sockets[0].getsockname()
        return f"{sockname[0]}:{sockname[1]}"

    async def _forward_stream(
        self, source: str, target: str, real: Address, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        target_writer: asyncio.StreamWriter | None = None
        pumps: list[asyncio.Task[None]] = []
        try:
            while await self._segment_delay_us(source, target) is None:  # connecting waits for a blocked link too
                pass
            target_reader, target_writer = await asyncio.open_connection(*real)
            pumps = [
                asyncio.create_task(self._pump(source, target, reader, target_writer)),
                asyncio.create_task(self._pump(target, source, target_reader, writer)),
            ]
            await asyncio.gather(*pumps)
        except OSError:
            pass  # the connection broke; both sides are aborted below
        finally:
            for pump in pumps:
                pump.cancel()
            for open_writer in (writer, target_writer):
                if open_writer is not None:
                    open_writer.transport.abort()

    async def _segment_delay_us(self, source: str, target: str) -> int | None:
        """Return the delay of the next segment; if the link is blocked, wait until links change and return None."""
        delay_us = self.network.next_segment(source, target)
        if delay_us is None:
            await self.links_changed.wait()
        return delay_us

    async def _pump(self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            data = await reader.read(CHUNK_BYTES)
            while (delay_us := await self._segment_delay_us(source, target)) is None:
                pass
            if delay_us:
                await asyncio.sleep(delay_us / 1e6)
            if not data:
                if writer.can_write_eof():
                    with contextlib.suppress(OSError, RuntimeError):
                        writer.write_eof()
                return
            writer.write(data)
            await writer.drain()

    async def close(self) -> None:
        """Stop forwarding, and close all sockets."""
        for server in self.servers:
            server.close()
        for task in list(self.streams):
            task.cancel()
        await asyncio.gather(*self.streams, return_exceptions=True)
        for port in self.ports.values():
            if port.transport is not None:
                port.transport.close()
        self.ports.clear()
        await asyncio.sleep(0)  # transports close their sockets in the next iteration of the event loop
