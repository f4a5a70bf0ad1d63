"""Where this head's own writes lie: the map, and reads that named another shard sent on by it."""

from __future__ import annotations

import tracemalloc

import pytest
from aiohttp import web

from hophinge.core import interface as api
from hophinge.core.exchange import AttemptResult, Verdict
from hophinge.core.write_locations import MAX_AGE_US, MAX_ENTRIES, WriteLocations
from tests.gateways import KEYED, ask, node
from tests.stand_in import Backend, headers, run, world
from tests.test_exchange import Desk
from tests.test_net import READ, WRITE
from tests.test_silence import away

AWAY = AttemptResult(api.Result.MISPLACED)


def write(desk: Desk, name: str, shard: int) -> None:
    """Have an object `o` written at a shard."""
    desk.answers[name] = []
    desk.exchange.arrive(ask(name, shard=shard, kind=KEYED, key="o"), "payload", desk.answers[name].append)
    desk.loop.advance(0)
    assert desk.out[-1].node == f"n{shard}"
    desk.out[-1].end(AttemptResult(api.Result.OK, b"written"))


def read(desk: Desk, shard: int, key: str = "o", name: str = "r") -> None:
    """Have it read by a client that names a shard, and let the attempt leave."""
    desk.answers[name] = []
    desk.exchange.arrive(ask(name, shard=shard, key=key), "payload", desk.answers[name].append)
    desk.loop.advance(0)
    assert desk.out[-1].node == f"n{shard}"


def verdicts(desk: Desk, name: str = "r") -> list[Verdict]:
    return [one.verdict for one in desk.answers[name]]


# --- the map


def test_the_map_holds_no_more_than_its_bound_and_forgets_the_oldest_write() -> None:
    written = WriteLocations(max_entries=3)
    for at, key in enumerate(("a", "b", "a", "c", "d")):
        written.record(at, "v", key, at)
    assert [written.find(9, "v", key) for key in "abcd"] == [2, None, 3, 4] and len(written.locations) == 3
    assert written.find(9, "w", "a") is None


def test_the_map_forgets_what_is_older_than_its_age() -> None:
    written = WriteLocations()
    written.record(0, "v", "a", 5)
    assert written.find(MAX_AGE_US, "v", "a") == 5 and written.find(MAX_AGE_US + 1, "v", "a") is None
    written.record(MAX_AGE_US + 1, "v", "b", 6)
    assert list(written.locations) == [("v", "b")]


def test_the_map_at_its_bound_takes_what_its_note_says() -> None:
    tracemalloc.start()
    try:
        written = WriteLocations()
        for number in range(2 * MAX_ENTRIES):
            written.record(1_000_000 + number, f"{number:016x}", f"{number:016x}", number % 1000)
        assert len(written.locations) == MAX_ENTRIES and tracemalloc.get_traced_memory()[0] < 2_000_000
    finally:
        tracemalloc.stop()


# --- reads


def test_a_read_that_names_another_shard_is_served_where_this_head_wrote_its_object() -> None:
    desk = Desk()
    write(desk, "w", 1)
    read(desk, 0)
    desk.out[-1].end(AWAY)
    desk.loop.advance(0)
    assert [one.node for one in desk.out] == ["n1", "n0", "n1"] and not desk.answers["r"]
    assert len(desk.exchange.open["r"].attempts) == 1  # one at a time
    desk.out[-1].end(AttemptResult(api.Result.OK, b"body"))
    assert verdicts(desk) == [Verdict.SERVED] and desk.counts["reads_moved"] == 1


def test_of_two_writes_the_later_one_tells_where_an_object_lies() -> None:
    desk = Desk()
    write(desk, "w1", 1)
    write(desk, "w2", 0)
    read(desk, 1)
    desk.out[-1].end(AWAY)
    desk.loop.advance(0)
    assert desk.out[-1].node == "n0"


@pytest.mark.parametrize("phase", [api.Phase.GONE, api.Phase.DRAINING])
def test_where_no_backend_holds_that_shard_any_more_the_read_is_refused_at_once(phase: api.Phase) -> None:
    desk = Desk()
    write(desk, "w", 1)
    desk.exchange.nodes(api.NodeList(api.ListKind.CHANGES, (node(1, phase),)))
    read(desk, 0)
    desk.out[-1].end(AWAY)
    desk.loop.advance(0)
    assert len(desk.out) == 2 and verdicts(desk) == [Verdict.REFUSED]


@pytest.mark.parametrize(("key", "shard"), [("other", 0), ("o", 1)])
def test_a_read_is_refused_at_once_where_the_map_knows_no_better(key: str, shard: int) -> None:
    desk = Desk()
    write(desk, "w", 1)
    read(desk, shard, key)
    desk.out[-1].end(AWAY)
    desk.loop.advance(0)
    assert len(desk.out) == 2 and verdicts(desk) == [Verdict.REFUSED]


def test_a_read_that_is_sent_on_keeps_within_its_attempts() -> None:
    desk = Desk()
    for number, shard in enumerate((0, 1, 0)):  # overwritten elsewhere each time that it is turned away
        write(desk, f"w{number}", 1 - shard)
        if number == 0:
            read(desk, shard)
        attempt = next(
            one for one in desk.out if one.request.arrival.request == "r" and one in one.request.attempts.values()
        )
        assert attempt.node == f"n{shard}"
        attempt.end(AWAY)
        desk.loop.advance(0)
    assert sum(one.request.arrival.request == "r" for one in desk.out) == 3 and verdicts(desk) == [Verdict.REFUSED]


def test_through_sockets_the_second_attempt_finds_it() -> None:
    async def main() -> None:
        async with world(Backend(0), Backend(1)) as made:
            service = await made.head()
            wire = await made.wire(service)
            wire.send(WRITE, headers(1, X_Placement="units=2,shard=1,hosts=1", X_Remaining_Ms="1200"), "PUT", b"x")
            assert (await wire.receive())[0] == 200

            async def elsewhere(_: web.BaseRequest, __: bytes) -> web.Response:
                return away(504)

            made.backends[0].behave = elsewhere
            wire.send(READ, headers(2))
            status, _, body = await wire.receive()
            assert (status, body) == (200, b"x")
            assert len(made.backends[0].seen) == 1 and len(made.backends[1].seen) == 2
            assert made.backends[1].headers[1]["X-Txn"] == f"{2:016x}"

    run(main())
