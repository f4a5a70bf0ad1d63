"""Tests of the emulated network: its decisions depend on the seed, links block per direction, streams lose nothing."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hophinge.load.rig.link_rules import PERFECT_LINK, RETRANSMIT_US, Network, LinkRule, arrival_delays_us, draws
from hophinge.load.rig.relay import Relay
from hophinge.load.rig.run import unused_loopback_host
from tests.stand_in import run, until

ROUGH = LinkRule(loss=0.3, duplicate=0.1, reorder=0.2, delay_us=1000, jitter_us=4000)
NAMES = ["a", "b", "c", "d", "e"]


def delays_by_link(seed: int, order: list[tuple[str, str]]) -> dict[tuple[str, str], list[tuple[int, ...]]]:
    """Return the delays of each link's datagrams, which are sent on the links in the given order."""
    network = Network(seed)
    network.set_rule(ROUGH)
    found: dict[tuple[str, str], list[tuple[int, ...]]] = {}
    for link in order:
        found.setdefault(link, []).append(network.next_datagram(*link))
    return found


@given(st.integers(0, 1 << 30), st.lists(st.sampled_from([("a", "b"), ("b", "a"), ("a", "c")]), max_size=60))
def test_delays_of_a_link_s_nth_datagram_do_not_depend_on_other_links(seed: int, order: list[tuple[str, str]]) -> None:
    assert delays_by_link(seed, order) == delays_by_link(seed, sorted(order)) == delays_by_link(seed, order)


def test_delays_depend_on_seed_and_link_and_their_shares_follow_the_rule() -> None:
    delays = [arrival_delays_us(ROUGH, draws(1, ("a", "b"), ordinal)) for ordinal in range(20_000)]
    assert delays != [arrival_delays_us(ROUGH, draws(2, ("a", "b"), ordinal)) for ordinal in range(20_000)]
    assert delays != [arrival_delays_us(ROUGH, draws(1, ("b", "a"), ordinal)) for ordinal in range(20_000)]
    counts = Counter(map(len, delays))
    assert abs(counts[0] / 20_000 - 0.3) < 0.02 and abs(counts[2] / (20_000 - counts[0]) - 0.1) < 0.02
    assert all(1000 <= delay_us <= 5000 + ROUGH.reorder_delay_us for row in delays for delay_us in row)
    assert arrival_delays_us(PERFECT_LINK, draws(1, ("a", "b"), 0)) == (0,)


def test_a_higher_loss_rate_loses_all_that_a_lower_one_loses() -> None:
    """A rule changes the threshold and not the draws, so that runs with different loss rates are comparable."""
    for ordinal in range(2000):
        if not arrival_delays_us(LinkRule(loss=0.1), draws(3, ("a", "b"), ordinal)):
            assert not arrival_delays_us(ROUGH, draws(3, ("a", "b"), ordinal))


@pytest.mark.parametrize("values", [{"loss": 1.1}, {"duplicate": -0.1}, {"delay_us": -1}, {"jitter_us": 10**9}])
def test_a_rule_with_a_value_out_of_range_is_rejected(values: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="from 0 to"):
        LinkRule(**values)  # type: ignore[arg-type]  # some of the fields are of type int


@given(st.lists(st.sets(st.sampled_from(NAMES), min_size=1), min_size=2, max_size=3))
def test_a_partition_blocks_links_between_sides_only_until_it_heals(sides: list[set[str]]) -> None:
    network = Network()
    network.partition(*sides)
    for source in NAMES:
        for target in NAMES:
            apart = any(source in left and target in right for left in sides for right in sides if left is not right)
            assert (network.next_datagram(source, target) == ()) == (apart and source != target)
    network.heal()
    assert all(network.next_datagram(source, target) for source in NAMES for target in NAMES)


def test_a_partition_by_zone_and_a_block_in_one_direction() -> None:
    network = Network()
    network.partition_zones({"a": "z1", "b": "z1", "c": "z2", "d": "z3"}, "z2")
    assert network.blocked_links == {
        (source, target) for source in "abcd" for target in "abcd" if (source == "c") != (target == "c")
    }
    network.heal({"a"}, {"c"})
    assert ("a", "c") not in network.blocked_links and ("c", "b") in network.blocked_links
    network.heal()
    network.block({"a"}, {"b"}, both=False)
    assert (
        network.next_datagram("a", "b") == ()
        and network.next_datagram("b", "a")
        and network.next_segment("a", "b") is None
    )
    network.set_rule(LinkRule(loss=1.0), [("b", "a")])
    delay_us = network.next_segment("b", "a")
    assert network.next_datagram("b", "a") == () and delay_us is not None and delay_us >= RETRANSMIT_US


class Peer(asyncio.DatagramProtocol):
    """A datagram socket of a process; it answers each datagram that begins with `ask` to its source address."""

    def __init__(self) -> None:
        self.received: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's class is not a subclass of it

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.received.append(data)
        if data.startswith(b"ask") and self.transport is not None:
            self.transport.sendto(b"answer" + data[3:], addr)

    def close(self) -> None:
        assert self.transport is not None
        self.transport.close()

    def send(self, data: bytes, address: str) -> None:
        assert self.transport is not None
        host, _, port = address.rpartition(":")
        self.transport.sendto(data, (host, int(port)))


async def open_peer(host: str) -> tuple[Peer, str]:
    transport, opened = await asyncio.get_running_loop().create_datagram_endpoint(Peer, local_addr=(host, 0))
    return opened, "{}:{}".format(*transport.get_extra_info("sockname")[:2])


def test_the_relay_forwards_datagrams_in_both_directions_and_blocks_one() -> None:
    async def main() -> None:
        network, host = Network(), unused_loopback_host()
        relay = Relay(network, host)
        (one, address_one), (other, address_other) = await open_peer(host), await open_peer(host)
        await relay.register("one", address_one)
        relayed_other = await relay.register("other", address_other)
        one.send(b"ask1", relayed_other)
        await until(lambda: one.received == [b"answer1"])
        assert other.received == [b"ask1"] and relay.sent_bytes == {"one": 4, "other": 7}
        network.block({"other"}, {"one"}, both=False)
        one.send(b"ask2", relayed_other)
        await until(lambda: network.counts["cut"] == 1)
        assert other.received == [b"ask1", b"ask2"] and one.received == [b"answer1"]
        network.heal()
        network.set_rule(LinkRule(duplicate=1.0, delay_us=500), [("one", "other")])
        one.send(b"tell3", relayed_other)
        await until(lambda: other.received.count(b"tell3") == 2)
        # A datagram of an unregistered sender is forwarded, on a link from `?`.
        unregistered, _ = await open_peer(host)
        unregistered.send(b"tell4", relayed_other)
        await until(lambda: b"tell4" in other.received)
        assert network.ordinals["?", "other"] == 1
        # A process that is restarted at another address keeps its name and its address at the relay.
        restarted, address_restarted = await open_peer(host)
        assert await relay.register("other", address_restarted) == relayed_other
        one.send(b"tell5", relayed_other)
        await until(lambda: b"tell5" in restarted.received)
        assert b"tell5" not in other.received
        for closed in (one, other, unregistered, restarted):
            closed.close()
        await relay.close()

    run(main())


def test_a_blocked_stream_waits_and_arrives_complete_and_in_order_after_the_unblock() -> None:
    async def main() -> None:
        network, host = Network(5), unused_loopback_host()
        relay = Relay(network, host)
        received = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(4096):
                received.extend(data)
                writer.write(data)
            writer.close()

        server = await asyncio.start_server(serve, host, 0)
        real = "{}:{}".format(*server.sockets[0].getsockname())
        address, port = (await relay.open_stream_address("a", "b", real)).rsplit(":", 1)
        reader, writer = await asyncio.open_connection(address, int(port))
        writer.write(b"first")
        assert await reader.readexactly(5) == b"first"
        network.block({"b"}, {"a"}, both=False)
        writer.write(b"second")
        await until(lambda: received == b"firstsecond")
        network.block({"a"}, {"b"}, both=False)
        network.set_rule(LinkRule(loss=0.1, reorder=0.5, reorder_delay_us=2000))
        writer.write(b"third" * 2000)
        for _ in range(50):
            await asyncio.sleep(0)
        assert received == b"firstsecond"
        network.heal()
        assert await reader.readexactly(6 + 10_000) == b"second" + b"third" * 2000
        writer.write_eof()
        assert await reader.read() == b"" and received == b"firstsecond" + b"third" * 2000
        writer.close()
        await relay.close()
        server.close()

    run(main())


@pytest.mark.parametrize("mutant", ["shared draws", "uncounted drops", "both directions"])
def test_mutants_of_the_network_are_caught(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Draws that links share; a blocked link that does not count its datagrams; a block that ignores its direction."""
    if mutant == "shared draws":
        rng = random.Random(1)
        monkeypatch.setattr("hophinge.load.rig.link_rules.draws", lambda *_: tuple(rng.random() for _ in range(5)))
        order = [("a", "b"), ("a", "c")] * 20
        assert delays_by_link(1, order) != delays_by_link(1, sorted(order))
    elif mutant == "uncounted drops":
        real = Network.next_datagram
        monkeypatch.setattr(
            Network, "next_datagram", lambda self, *link: () if link in self.blocked_links else real(self, *link)
        )
        assert delays_after_a_block() != delays_without_a_block()
    else:
        monkeypatch.setattr(
            Network,
            "block",
            lambda self, one, other, both=True: self.blocked_links.update(
                {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
            ),
        )
        with pytest.raises(AssertionError):
            test_a_partition_by_zone_and_a_block_in_one_direction()


def delays_without_a_block() -> list[tuple[int, ...]]:
    """Return the delays of 20 datagrams after 20 others."""
    network = Network(4)
    network.set_rule(ROUGH)
    return [network.next_datagram("a", "b") for _ in range(40)][20:]


def delays_after_a_block() -> list[tuple[int, ...]]:
    """Return the delays of 20 datagrams after a block that dropped the first 20."""
    network = Network(4)
    network.set_rule(ROUGH)
    network.block({"a"}, {"b"})
    assert not any(network.next_datagram("a", "b") for _ in range(20))
    network.heal()
    return [network.next_datagram("a", "b") for _ in range(20)]


def test_a_block_does_not_change_the_delays_of_later_datagrams() -> None:
    assert delays_after_a_block() == delays_without_a_block()
