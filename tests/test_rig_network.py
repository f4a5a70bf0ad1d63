"""The rig's network: fates come from the seed, cuts hold one way and both, streams are late but whole."""

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


def history(seed: int, order: list[tuple[str, str]]) -> dict[tuple[str, str], list[tuple[int, ...]]]:
    """The fates of each link's datagrams when links carry in some order."""
    network = Network(seed)
    network.set_rule(ROUGH)
    found: dict[tuple[str, str], list[tuple[int, ...]]] = {}
    for link in order:
        found.setdefault(link, []).append(network.next_datagram(*link))
    return found


@given(st.integers(0, 1 << 30), st.lists(st.sampled_from([("a", "b"), ("b", "a"), ("a", "c")]), max_size=60))
def test_a_link_s_nth_datagram_has_the_same_fate_whatever_other_links_carry(
    seed: int, order: list[tuple[str, str]]
) -> None:
    assert history(seed, order) == history(seed, sorted(order)) == history(seed, order)


def test_another_seed_or_link_has_other_fates_and_shares_are_as_the_rule_says() -> None:
    drawn = [arrival_delays_us(ROUGH, draws(1, ("a", "b"), at)) for at in range(20_000)]
    assert drawn != [arrival_delays_us(ROUGH, draws(2, ("a", "b"), at)) for at in range(20_000)]
    assert drawn != [arrival_delays_us(ROUGH, draws(1, ("b", "a"), at)) for at in range(20_000)]
    counts = Counter(map(len, drawn))
    assert abs(counts[0] / 20_000 - 0.3) < 0.02 and abs(counts[2] / (20_000 - counts[0]) - 0.1) < 0.02
    assert all(1000 <= one <= 5000 + ROUGH.reorder_delay_us for row in drawn for one in row)
    assert arrival_delays_us(PERFECT_LINK, draws(1, ("a", "b"), 0)) == (0,)


def test_what_a_rule_loses_a_milder_one_loses_no_more_of() -> None:
    """A rule moves the mark, not the lots: so that two runs with more and less loss can be compared."""
    for at in range(2000):
        if not arrival_delays_us(LinkRule(loss=0.1), draws(3, ("a", "b"), at)):
            assert not arrival_delays_us(ROUGH, draws(3, ("a", "b"), at))


@pytest.mark.parametrize("wrong", [{"loss": 1.1}, {"duplicate": -0.1}, {"delay_us": -1}, {"jitter_us": 10**9}])
def test_a_rule_out_of_range_is_refused(wrong: dict[str, float]) -> None:
    with pytest.raises(ValueError, match="from 0 to"):
        LinkRule(**wrong)  # type: ignore[arg-type]  # the wrong values are the point


@given(st.lists(st.sets(st.sampled_from(NAMES), min_size=1), min_size=2, max_size=3))
def test_a_split_cuts_between_sides_alone_and_a_heal_undoes_it(sides: list[set[str]]) -> None:
    network = Network()
    network.partition(*sides)
    for one in NAMES:
        for other in NAMES:
            apart = any(one in left and other in right for left in sides for right in sides if left is not right)
            assert (network.next_datagram(one, other) == ()) == (apart and one != other)
    network.heal()
    assert all(network.next_datagram(one, other) for one in NAMES for other in NAMES)


def test_a_split_by_zone_and_a_cut_one_way() -> None:
    network = Network()
    network.partition_zones({"a": "z1", "b": "z1", "c": "z2", "d": "z3"}, "z2")
    assert network.blocked_links == {
        (one, other) for one in "abcd" for other in "abcd" if (one == "c") != (other == "c")
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
    late = network.next_segment("b", "a")
    assert network.next_datagram("b", "a") == () and late is not None and late >= RETRANSMIT_US


class Peer(asyncio.DatagramProtocol):
    """A process's datagram socket; answers each `ask` at the address that it came from."""

    def __init__(self) -> None:
        self.heard: list[bytes] = []
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.DatagramTransport, transport)  # uvloop's is no subclass of it

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.heard.append(data)
        if data.startswith(b"ask") and self.transport is not None:
            self.transport.sendto(b"answer" + data[3:], addr)

    def close(self) -> None:
        assert self.transport is not None
        self.transport.close()

    def send(self, data: bytes, where: str) -> None:
        assert self.transport is not None
        host, _, port = where.rpartition(":")
        self.transport.sendto(data, (host, int(port)))


async def peer(host: str) -> tuple[Peer, str]:
    transport, made = await asyncio.get_running_loop().create_datagram_endpoint(Peer, local_addr=(host, 0))
    return made, "{}:{}".format(*transport.get_extra_info("sockname")[:2])


def test_datagrams_pass_the_relay_both_ways_and_a_cut_holds_one_way() -> None:
    async def main() -> None:
        network, host = Network(), unused_loopback_host()
        relay = Relay(network, host)
        (one, where_one), (other, where_other) = await peer(host), await peer(host)
        await relay.register("one", where_one)
        to_other = await relay.register("other", where_other)
        one.send(b"ask1", to_other)
        await until(lambda: one.heard == [b"answer1"])
        assert other.heard == [b"ask1"] and relay.sent_bytes == {"one": 4, "other": 7}
        network.block({"other"}, {"one"}, both=False)
        one.send(b"ask2", to_other)
        await until(lambda: network.counts["cut"] == 1)
        assert other.heard == [b"ask1", b"ask2"] and one.heard == [b"answer1"]
        network.heal()
        network.set_rule(LinkRule(duplicate=1.0, delay_us=500), [("one", "other")])
        one.send(b"tell3", to_other)
        await until(lambda: other.heard.count(b"tell3") == 2)
        # A stranger is heard, and is cut off by its own name.
        stranger, _ = await peer(host)
        stranger.send(b"tell4", to_other)
        await until(lambda: b"tell4" in other.heard)
        assert network.ordinals["?", "other"] == 1
        # A process that was started again at another address keeps its name.
        again, where_again = await peer(host)
        assert await relay.register("other", where_again) == to_other
        one.send(b"tell5", to_other)
        await until(lambda: b"tell5" in again.heard)
        assert b"tell5" not in other.heard
        for closed in (one, other, stranger, again):
            closed.close()
        await relay.close()

    run(main())


def test_a_stream_is_held_by_a_cut_and_comes_whole_and_in_order_after_it() -> None:
    async def main() -> None:
        network, host = Network(5), unused_loopback_host()
        relay = Relay(network, host)
        got = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            while data := await reader.read(4096):
                got.extend(data)
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
        await until(lambda: got == b"firstsecond")
        network.block({"a"}, {"b"}, both=False)
        network.set_rule(LinkRule(loss=0.1, reorder=0.5, reorder_delay_us=2000))
        writer.write(b"third" * 2000)
        for _ in range(50):
            await asyncio.sleep(0)
        assert got == b"firstsecond"
        network.heal()
        assert await reader.readexactly(6 + 10_000) == b"second" + b"third" * 2000
        writer.write_eof()
        assert await reader.read() == b"" and got == b"firstsecond" + b"third" * 2000
        writer.close()
        await relay.close()
        server.close()

    run(main())


@pytest.mark.parametrize("mutant", ["lots in turn", "a cut forgets", "a cut both ways"])
def test_mutants_of_the_network_are_caught(mutant: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Lots drawn in turn by all links; a cut that does not count what it takes; a cut one way that cuts both."""
    if mutant == "lots in turn":
        dice = random.Random(1)
        monkeypatch.setattr("hophinge.load.rig.link_rules.draws", lambda *_: tuple(dice.random() for _ in range(5)))
        order = [("a", "b"), ("a", "c")] * 20
        assert history(1, order) != history(1, sorted(order))
    elif mutant == "a cut forgets":
        real = Network.next_datagram
        monkeypatch.setattr(
            Network, "next_datagram", lambda self, *link: () if link in self.blocked_links else real(self, *link)
        )
        assert fates_round_a_cut() != fates_without()
    else:
        monkeypatch.setattr(
            Network,
            "block",
            lambda self, one, other, both=True: self.blocked_links.update(
                {(a, b) for a in one for b in other} | {(b, a) for a in one for b in other}
            ),
        )
        with pytest.raises(AssertionError):
            test_a_split_by_zone_and_a_cut_one_way()


def fates_without() -> list[tuple[int, ...]]:
    network = Network(4)
    network.set_rule(ROUGH)
    return [network.next_datagram("a", "b") for _ in range(40)][20:]


def fates_round_a_cut() -> list[tuple[int, ...]]:
    """The fates after a cut that took the first twenty."""
    network = Network(4)
    network.set_rule(ROUGH)
    network.block({"a"}, {"b"})
    assert not any(network.next_datagram("a", "b") for _ in range(20))
    network.heal()
    return [network.next_datagram("a", "b") for _ in range(20)]


def test_a_cut_counts_on_so_that_what_comes_after_it_is_the_same() -> None:
    assert fates_round_a_cut() == fates_without()
