"""Tenants kept apart: turns by weight, reserves, admission by random steps, and a head under a surge."""

from __future__ import annotations

import asyncio
import io
import itertools
import json
import random
from collections import Counter
from pathlib import Path
from typing import Any

import pytest
from aiohttp import ClientSession, TCPConnector, web
from hypothesis import given, settings
from hypothesis import strategies as st

from hophinge.control import shares as control_shares
from hophinge.tenancy.admission import Admission, Ask, Shares, Spare, Ticket, Verdict
from hophinge.tenancy.fair import Entry, Tree
from hophinge.tenancy.reserve import Reserve
from tests.stand_in import headers, held_by, run, setup, until
from tests.test_streamed import GOOD, SETTINGS, TARGET, follower, installation, status

S, MS = 1_000_000, 1000


def jain(values: list[float]) -> float:
    """Jain's index of fairness: 1 where all are equal, 1/n where one has all."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values))


# --- turns


@settings(max_examples=60)
@given(st.lists(st.floats(0.5, 8.0), min_size=2, max_size=6), st.integers(0, 2 ** 32))
def test_what_waits_leaves_in_proportion_to_weights(weights: list[float], seed: int) -> None:
    rng, tree, got = random.Random(seed), Tree[str](), dict.fromkeys(map(str, range(len(weights))), 0.0)

    def fill(name: str) -> None:
        tree.put(name, rng.uniform(0.5, 8.0), name, weights[int(name)], "v", 1.0, 1.0)

    for name in got:
        fill(name)
        fill(name)
    for _ in range(400 * len(weights)):
        entry = tree.pop()
        assert entry is not None
        got[entry.item] += entry.units
        fill(entry.item)
    assert jain([got[name] / weights[int(name)] for name in got]) > 0.98


class Plain:
    """The same discipline by scanning everything at each step: slow, and plainly right."""

    def __init__(self) -> None:
        self.virtual: dict[str, float] = {"": 0.0}
        self.finish: dict[str, float] = {}
        self.start: dict[str, float] = {}
        self.woke: dict[str, int] = {}
        self.queues: dict[str, list[tuple[float, int, str, float]]] = {}
        self.weights: dict[str, float] = {}
        self.count = itertools.count()

    def waiting(self, key: str) -> bool:
        return any(queue and (name == key or name.startswith(key + "/")) for name, queue in self.queues.items())

    def put(self, item: str, units: float, tenant: str, volume: str, worth: float,
            weights: tuple[float, float]) -> None:
        path = tenant, f"{tenant}/{volume}"
        awake = [self.waiting(key) for key in path]
        self.queues.setdefault(path[1], []).append((-worth, next(self.count), item, units))
        for key, parent, was, weight in zip(path[::-1], (tenant, ""), awake[::-1], weights[::-1], strict=True):
            self.weights[key] = weight
            if not was:
                self.start[key] = max(self.virtual.setdefault(parent, 0.0), self.finish.get(key, 0.0))
                self.woke[key] = next(self.count)

    def remove(self, item: str) -> None:
        for queue in self.queues.values():
            queue[:] = [row for row in queue if row[2] != item]

    def pop(self) -> str | None:
        tenants = [key for key in self.start if "/" not in key and self.waiting(key)]
        if not tenants:
            return None
        tenant = min(tenants, key=lambda key: (self.start[key], self.woke[key]))
        volumes = [key for key in self.start if key.startswith(tenant + "/") and self.queues[key]]
        volume = min(volumes, key=lambda key: (self.start[key], self.woke[key]))
        row = min(self.queues[volume])
        self.queues[volume].remove(row)
        for key, parent in ((volume, tenant), (tenant, "")):
            self.virtual[parent] = self.start[key]
            self.finish[key] = self.start[key] + row[3] / self.weights[key]
            if self.waiting(key):
                self.start[key], self.woke[key] = self.finish[key], next(self.count)
        return row[2]


@settings(max_examples=200)
@given(st.lists(st.one_of(
    st.tuples(st.just("put"), st.integers(0, 2), st.integers(0, 2), st.sampled_from([1.0, 2.0, 3.0]),
              st.sampled_from([1.0, 2.0, 5.0])),
    st.tuples(st.sampled_from(["pop", "remove"]), st.integers(0, 9), st.just(0), st.just(1.0), st.just(1.0))),
    max_size=60))
def test_the_tree_chooses_what_a_plain_scan_chooses(steps: list[tuple[str, int, int, float, float]]) -> None:
    tree, plain, entries = Tree[str](), Plain(), dict[str, Entry[str]]()
    for at, (word, one, two, worth, units) in enumerate(steps):
        if word == "put":
            name, weights = f"i{at}", (1.0 + one, 1.0 + two)
            entries[name] = tree.put(name, units, f"t{one}", weights[0], f"v{two}", weights[1], worth)
            plain.put(name, units, f"t{one}", f"v{two}", worth, weights)
        elif word == "remove" and entries:
            name = sorted(entries)[one % len(entries)]
            tree.remove(entries.pop(name))
            plain.remove(name)
        elif word == "pop":
            entry = tree.pop()
            assert (entry.item if entry else None) == plain.pop()
            if entry:
                del entries[entry.item]
        assert tree.waiting == len(entries)


def test_who_was_idle_gets_no_credit_for_it() -> None:
    tree = Tree[str]()
    for _ in range(100):
        tree.put("busy", 1.0, "busy", 1.0, "v", 1.0, 1.0)
    for _ in range(50):
        tree.pop()
    for _ in range(20):
        tree.put("late", 1.0, "late", 1.0, "v", 1.0, 1.0)
    first = Counter(entry.item for _ in range(20) if (entry := tree.pop()))
    assert abs(first["late"] - first["busy"]) <= 1


def test_flows_that_are_done_and_items_that_gave_up_are_forgotten() -> None:
    tree = Tree[int]()
    for at in range(5000):
        tree.put(at, 1.0, f"t{at}", 1.0, "v", 1.0, 1.0)
        tree.pop()
        if at % 100 == 99:
            tree.idle()
        assert len(tree.root.flows) <= 100
    for at in range(5000):
        tree.remove(tree.put(at, 1.0, "t", 1.0, "v", 1.0, 1.0))
    outer = tree.root.flows["t"]
    assert outer.node is not None and len(outer.node.flows["v"].queue) < 50


# --- reserves


@given(st.lists(st.tuples(st.integers(0, 200 * MS), st.integers(0, 3), st.floats(0.5, 8.0)), max_size=150))
def test_a_volume_s_right_is_always_there_and_loans_stay_within_the_tenant_s(
        steps: list[tuple[int, int, float]]) -> None:
    reserve, now, since = Reserve(40.0, 1.0, 8.0, 0), 0, 0
    rights = {"v0": 10.0, "v1": 10.0, "v2": 20.0, "v3": 0.0}
    taken = dict.fromkeys(rights, 0.0)
    right_level = {name: max(rate, 8.0) if rate else 0.0 for name, rate in rights.items()}
    for span, at, units in steps:
        now += span
        name = f"v{at}"
        for one, rate in rights.items():
            right_level[one] = min(max(rate, 8.0) if rate else 0.0, right_level[one] + rate * span / S)
        got = reserve.take(name, rights[name], 8.0, units, now)
        if right_level[name] >= units - 1e-6 and name in reserve.volumes and got is False:
            # Only rounding may lie between them.
            assert right_level[name] < units + 1e-6
        if got:
            taken[name] += units
            if right_level[name] >= units + 1e-6:
                right_level[name] -= units
            elif right_level[name] >= units - 1e-6:
                right_level[name] = max(0.0, right_level[name] - units)
        assert abs(sum(reserve.debts.values()) + reserve.returned - reserve.lent) < 1e-6
        # All together: the tenant's rate and what was saved up, and the rights that were driven below 0 by loans.
        assert sum(taken.values()) <= 40.0 * (now - since) / S + 40.0 + sum(max(rate, 8.0) for rate in rights.values())


def test_what_was_lent_comes_back_before_anybody_borrows_again() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    assert all(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(0))
    borrowed = sum(reserve.take("busy", 0.0, 4.0, 1.0, 0) for _ in range(40))
    assert reserve.owed(0) == {"busy": 20.0}
    assert borrowed == 20 and reserve.borrowed == {"busy": 20.0} and reserve.lent == 20.0
    rights = sum(reserve.take("quiet", 20.0, 4.0, 1.0, 0) for _ in range(40))
    assert rights == 20 and reserve.total.level == -20.0        # its right, though all was lent
    assert reserve.owed(S // 2) == {"busy": 10.0}
    assert not reserve.take("busy", 0.0, 4.0, 1.0, S)           # a second later it is only just even
    assert reserve.returned == 20 and not reserve.owed(S)
    assert reserve.take("busy", 0.0, 4.0, 1.0, S + 100 * MS) and reserve.owed(S + 100 * MS) == {"busy": 1.0}
    assert not reserve.owed(9 * S)                              # a full bucket owes nothing


def test_a_changed_rate_keeps_what_is_owed() -> None:
    reserve = Reserve(10.0, 1.0, 1.0, 0)
    assert all(reserve.take("v", 10.0, 1.0, 1.0, 0) for _ in range(10))
    reserve.change(100.0, 1.0, 0)
    assert not reserve.take("v", 100.0, 1.0, 1.0, 0)            # a raise gives nothing at once
    assert reserve.take("v", 100.0, 1.0, 1.0, 20 * MS)
    reserve.change(1.0, 1.0, 100 * MS)
    taken = sum(reserve.take("v", 1.0, 1.0, 1.0, 100 * MS + at * 10 * MS) for at in range(100))
    assert taken <= 2


# --- admission


class Head:
    """An admission before a server that does so many units a second, one after the other; time is the test's."""

    def __init__(self, shares: dict[str, Shares], spare: Spare, rate: float) -> None:
        self.admission = Admission(lambda name: shares.get(name, Shares()), spare, 8.0)
        self.rate, self.now, self.free_at = rate, 0, 0.0
        self.out: list[tuple[float, Ticket]] = []
        self.times: dict[str, list[float]] = {}
        self.refused: Counter[str] = Counter()
        self.waits: set[int] = set()

    def ask(self, tenant: str, units: float = 1.0, volume: str = "", worth: float = 1.0) -> Verdict:
        ask = Ask(tenant, volume or f"{tenant}-v", units, worth, 0.0, 1.0, 150 * MS)
        verdict, ticket, wait = self.admission.arrive(self.now, ask)
        assert (verdict is Verdict.REFUSED) == (wait > 0)
        if verdict is Verdict.WAITS:
            self.waits.add(id(ticket))
        elif verdict is Verdict.REFUSED:
            self.refused[tenant] += 1
        else:
            self._serve(ticket)
        return verdict

    def _serve(self, ticket: Ticket) -> None:
        self.free_at = max(self.free_at, self.now) + ticket.ask.units / self.rate * S
        self.out.append((self.free_at, ticket))

    def _turn(self) -> None:
        for ticket, wait in self.admission.turn(self.now):
            self.waits.remove(id(ticket))       # a KeyError: it ended twice, or never waited
            if wait:
                self.refused[ticket.ask.tenant] += 1
            else:
                self._serve(ticket)

    def until(self, then: int) -> None:
        while True:
            at = min([then, *(int(at) + 1 for at, _ in self.out[:1]),
                      *([self.admission.due_us] if self.admission.due_us else [])])
            self.now = max(self.now, at)
            while self.out and self.out[0][0] <= self.now:
                _, ticket = self.out.pop(0)
                self.admission.left(self.now, ticket)
                self.times.setdefault(ticket.ask.tenant, []).append((self.now - ticket.since) / MS)
            self._turn()
            if at >= then:
                return


def test_rights_that_add_up_to_more_than_their_tenant_s_get_no_more_than_it() -> None:
    reserve = Reserve(20.0, 1.0, 4.0, 0)
    taken = sum(reserve.take(f"v{at % 5}", 400.0, 4.0, 1.0, at * MS) for at in range(10_000))
    assert taken <= 20 * 10 + 2 * 20


def played(surge: float, seconds: int = 20) -> Head:
    """Three tenants, two near their reserved 30 units/s, the third at a multiple of it, on a head that does 120."""
    head = Head({name: Shares(30.0, 1.0, 64) for name in "abc"}, Spare(2.0, 50 * MS), 120.0)
    rng = random.Random(5)
    arrivals = sorted((int(at), name) for name, rate in (("a", 27.0), ("b", 27.0), ("c", 27.0 * surge))
                      for at in itertools.accumulate(rng.expovariate(rate / S) for _ in range(int(rate * seconds))))
    for at, name in arrivals:
        head.until(at)
        head.ask(name)
    head.until(arrivals[-1][0] + S)
    return head


def test_a_surge_of_one_tenant_leaves_the_others_their_rate_and_their_times() -> None:
    calm, surge = played(1.0), played(10.0)
    for name in "ab":
        asked = len(calm.times[name]) + calm.refused[name]
        assert len(surge.times[name]) >= 0.98 * asked
        before, after = (sorted(head.times[name])[int(0.99 * len(head.times[name]))] for head in (calm, surge))
        assert after <= 1.2 * before
    assert len(surge.times["c"]) > 1.8 * len(calm.times["c"])   # what is spare is used
    assert surge.refused["c"] > 0


def test_a_reserve_changed_within_a_surge_holds_from_then_on_and_what_is_owed_stays_owed() -> None:
    shares = {"a": Shares(30.0, 1.0, 64), "c": Shares(30.0, 1.0, 64)}
    head = Head(shares, Spare(2.0, 50 * MS), 100.0)

    def reserved(seconds: int) -> float:
        """Ask as c at ten times its reserve, and tell the units a second that its reserve gave it."""
        since, usage = head.now, head.admission.accounts["c"].usage.reserved if head.admission.accounts else 0.0
        for step in range(seconds * 200):
            head.until(since + step * 5 * MS)
            head.ask("c", 1.5)
            if step % 8 == 0:
                head.ask("a")
        return (head.admission.accounts["c"].usage.reserved - usage) / seconds

    assert 28 <= reserved(4) <= 33
    inside = head.admission.inside
    shares["c"] = Shares(60.0, 1.0, 64)
    assert head.admission.inside == inside          # what was admitted stays
    assert 57 <= reserved(4) <= 63                  # from now on, without a second's worth at once
    shares["c"] = Shares(5.0, 1.0, 64)
    assert 4 <= reserved(4) <= 8
    level = head.admission.accounts["c"].reserve.total.level
    assert level < 8.0
    shares["c"] = Shares(30.0, 1.0, 64)
    head.ask("c", 8.0)
    assert head.admission.accounts["c"].reserve.total.level <= level + 0.5     # a raise gives nothing back


def test_spare_is_shared_by_weight() -> None:
    weights = {"a": 1.0, "b": 2.0, "c": 5.0}
    head = Head({name: Shares(0.0, weight, 32) for name, weight in weights.items()}, Spare(8.0, 200 * MS), 100.0)
    for step in range(4000):
        head.until(step * 5 * MS)
        for name in weights:
            head.ask(name)
    got = {name: len(head.times[name]) for name in weights}
    assert jain([got[name] / weight for name, weight in weights.items()]) >= 0.98
    assert 0.95 * 100 * 20 <= sum(got.values()) <= 1.05 * 100 * 20


def test_a_class_of_more_worth_goes_first_within_its_volume() -> None:
    head = Head({}, Spare(1.0, 100 * MS), 100.0)
    head.ask("a")
    for worth in (1.0, 3.0, 2.0):
        assert head.ask("a", worth=worth) is Verdict.WAITS
    order = []
    while head.admission.tree.waiting:
        head.until(head.now + MS)
        order += [ticket.ask.worth for _, ticket in head.out if ticket.ask.worth not in order]
    assert order == [1.0, 3.0, 2.0, 1.0][:len(order)] or order[:3] == [1.0, 3.0, 2.0]


def test_a_refusal_says_when_the_tenant_s_own_reserve_is_there() -> None:
    head = Head({"a": Shares(10.0, 1.0, 1)}, Spare(1.0, 50 * MS), 1.0)
    while head.ask("a") is Verdict.RESERVED:
        pass
    head.ask("a")
    verdict, _, wait = head.admission.arrive(0, Ask("a", "v", 2.0, 1.0, 0.0, 1.0, 150 * MS))
    assert verdict is Verdict.REFUSED and 190 * MS <= wait <= 210 * MS


@settings(max_examples=150)
@given(st.lists(st.tuples(st.sampled_from(["ask", "ask", "end", "leave", "wait", "shares"]), st.integers(0, 3),
                          st.floats(0.5, 8.0)), max_size=120))
def test_by_random_steps_each_request_ends_once_and_nothing_is_left(steps: list[tuple[str, int, float]]) -> None:
    shares = {f"t{at}": Shares(5.0 * at, 1.0 + at, 3) for at in range(4)}
    admission = Admission(lambda name: shares[name], Spare(10.0, 40 * MS), 8.0)
    now, inside, waits = 0, list[Ticket](), list[Ticket]()

    def turn() -> None:
        for ticket, wait in admission.turn(now):
            waits.remove(ticket)
            if not wait:
                inside.append(ticket)

    for word, at, units in steps:
        if word == "ask":
            verdict, ticket, _ = admission.arrive(now, Ask(f"t{at}", "v", units, units, 2.0, 1.0, 30 * MS))
            (inside if verdict in (Verdict.RESERVED, Verdict.SPARE) else
             waits if verdict is Verdict.WAITS else []).append(ticket)
        elif word == "end" and inside:
            admission.left(now, inside.pop(at % len(inside)))
        elif word == "leave" and waits:
            admission.left(now, waits.pop(at % len(waits)))
        elif word == "shares":
            shares[f"t{at}"] = Shares(units * 3, units, 2)
        else:
            now += int(units * 5 * MS)
        turn()
        assert admission.tree.waiting == len(waits) == sum(one.waiting for one in admission.accounts.values())
        assert abs(admission.inside - sum(ticket.ask.units for ticket in inside)) < 1e-6
        assert not admission.due_us or admission.due_us > now
    now += 41 * MS
    turn()
    for ticket in inside:
        admission.left(now, ticket)
    assert not waits and not admission.tree.waiting and abs(admission.inside) < 1e-6


# --- a head


def put(here: Any, head: Any, client: ClientSession, volume: str, number: int) -> Any:
    fields = headers(number, X_Placement="units=1,shard=-1,hosts=1")
    path = TARGET.format(number % 256).replace("00000003b4d60021", f"00000000000000{volume}")
    return status(client.put(here.made.url(head) + path, data=b"x", headers=fields))


def test_requests_wait_at_a_head_end_once_and_a_tenant_that_goes_frees_its_turn(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            gate = asyncio.Event()

            for brick in here.made.bricks:
                brick.behave = held_by(gate)
            classes = [{**row, "GoalTimeUs": 2_000_000, "DeadlineUs": 8_000_000} for row in SETTINGS["RequestClasses"]]
            head = await here.head("n0", setup(RequestClasses=classes))
            spare = "(spare (depth 4 units) (wait 150 ms))"
            await here.push(GOOD + spare + "(tenant aa (volumes 00000000000000aa))")
            await here.runs(head, "1.1")
            assert head.streamed is not None
            router = head.streamed.router
            assert router.admission is not None
            tasks = [asyncio.create_task(put(here, head, client, "aa", at)) for at in range(1, 13)]
            await until(lambda: router.admission is not None and router.admission.tree.waiting == 8)
            tasks[11].cancel()
            await until(lambda: router.admission is not None and router.admission.tree.waiting == 7)
            await until(lambda: sum(task.done() for task in tasks) == 8)    # seven are refused after 150 ms
            gate.set()
            codes = Counter(await asyncio.gather(*tasks[:11]))
            assert codes == {200: 4, 503: 7} and not router.passes and not router.open
            assert router.admission.inside == 0 and router.figures()["refused_beyond_share"] == 7
            assert head.control_listener is not None
            place, port = head.control_listener.sockets[0].getsockname()
            async with client.get(f"http://{place}:{port}/ops/tenants") as answer:
                told = json.loads(await answer.text())["tenants"]["aa"]
            assert (told["spare_units"], told["refused"], told["waiting"]) == (4.0, 7, 0)
            # Without the form nothing waits any more.
            gate.clear()
            tasks = [asyncio.create_task(put(here, head, client, "aa", at)) for at in range(20, 28)]
            await until(lambda: router.admission is not None and router.admission.tree.waiting == 4)
            await here.push(GOOD)
            await here.runs(head, "1.2")
            gate.set()
            assert set(await asyncio.gather(*tasks)) <= {200, 503} and not router.passes
    run(main())


def test_shares_of_a_reserve_follow_demand_between_heads_and_promises_that_cannot_be_kept_are_told(
        tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            heads = [await here.head(f"n{at}", {**SETTINGS, "Balancers": 2}) for at in range(2)]
            spare = "(spare (depth 100 units) (leases on) (capacity 50 units/s))"
            tenant = "(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"
            # No head may be connected yet: the push waits for one to tell how many there are, itself and another.
            with pytest.raises(ConnectionError, match=r"with 2 heads the tenants' reserves add up to 120 units/s; the "
                                                      r"heads do 100: lower reserves by 20"):
                await here.push(GOOD + spare + tenant.format(120))
            await here.push(GOOD + spare + tenant.format(40))
            for head in heads:
                await here.runs(head, "1.1")
            holders = [head.streamed.holder for head in heads if head.streamed is not None]

            def shares() -> list[float]:
                return [holder.share("aa", heads[0].exchange.now_us()) for holder in holders]

            assert shares() == [0.0, 0.0]       # they have just started, and nothing told them what is safe
            await until(lambda: here.service is not None and here.service.allotment.issuer is not None)
            assert here.service is not None and here.service.allotment.issuer is not None
            here.service.allotment.issuer.quiet_until = 0     # nobody was ever granted anything here
            await until(lambda: min(shares()) > 0)
            since, number = asyncio.get_running_loop().time(), itertools.count(1)

            async def ask_on() -> None:
                while True:
                    await put(here, heads[0], client, "aa", next(number))
                    await asyncio.sleep(0.02)

            asking = asyncio.create_task(ask_on())
            most = 0.0
            while shares()[0] < 0.8:
                most = max(most, sum(shares()))
                await asyncio.sleep(0.01)
            assert most <= 1 + 1e-9 and asyncio.get_running_loop().time() - since < 30      # 6 s on a free machine
            router = heads[0].streamed.router if heads[0].streamed is not None else None
            assert router is not None and router._shares("aa").reserve > 0.8 * 40
            asking.cancel()
            await asyncio.gather(asking, return_exceptions=True)
    run(main())


def test_promises_are_judged_by_what_the_installation_is_not_by_who_is_connected(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(control_shares, "SIZE_S", 0.1)
    form = "(spare (depth 9 units) (capacity 50 units/s))(tenant aa (volumes 00000000000000aa) (reserve {} units/s))"

    async def main() -> None:
        async with installation(tmp_path) as here:
            assert (await here.push(GOOD + form.format(50)))["version"] == "1.1"        # any one head keeps it
            with pytest.raises(ConnectionError, match="no head has told yet how many there are"):
                await here.push(GOOD + form.format(90))
            head = await here.head("n0", {**SETTINGS, "Balancers": 2})
            await here.runs(head, "1.1")
            assert (await here.push(GOOD + form.format(90)))["version"] == "1.2"
            await here.runs(head, "1.2")
            await here.made.kill(head)
            assert here.service is not None
            await here.service.stop()
            await here.control()                            # nobody is connected, and it is known all the same
            assert (await here.staff("Status"))["size"] == 2
            with pytest.raises(ConnectionError, match=r"with 2 heads .* lower reserves by 1 units/s"):
                await here.push(GOOD + form.format(101))
            # A head that is alone now: what is in force is told to be too much, and goes on.
            head = await here.head("n0", {**SETTINGS, "Balancers": 1})
            await until(lambda: any("with 1 heads" in line for line in here.log))
            assert follower(head).running == "1.2"
    run(main())


def test_bodies_keep_to_their_tenant_s_bytes_a_second(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            long = b"x" * (3 * 512 * 1024)

            async def give(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                return web.Response(body=io.BytesIO(long), headers={"Content-Length": str(len(long))})

            here.made.bricks[0].behave = give
            head = await here.head("n0")
            await here.push(GOOD + "(tenant aa (volumes 00000000000000aa)) (limit (tenant aa) (out 1 MiB/s))")
            await here.runs(head, "1.1")
            took = {}
            for name, number in (("bb", 1), ("aa", 2)):
                since = asyncio.get_running_loop().time()
                path = f"{here.made.url(head)}/record-read/00000000000000{name}/7f3a9c21e0b4d655"
                async with here.made.client.get(path, headers=headers(number)) as answer:
                    assert answer.status == 200 and await answer.read() == long
                took[name] = asyncio.get_running_loop().time() - since
            assert took["aa"] > 0.4     # 1 MiB was saved up, half of one is paced
            assert head.streamed is not None and list(head.streamed.router.limiter.paces) == ["limit/aa/*/*"]
    run(main())


def test_connections_of_a_tenant_are_bounded_on_the_platform_s_front(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here:
            head = await here.head("n0")
            await here.push(GOOD + "(tenant aa (volumes 00000000000000aa) (connections 2 connections))")
            await here.runs(head, "1.1")
            wires = [await here.made.wire(head) for _ in range(4)]
            codes = []
            for at, (wire, volume) in enumerate(zip(wires, ("aa", "aa", "aa", "bb"), strict=True)):
                wire.send(f"/record-read/00000000000000{volume}/7f3a9c21e0b4d655", headers(at))
                codes.append((await wire.receive())[0])
            assert codes == [404, 404, 503, 404] and await wires[2].ended()     # it is told, and its connection ends
            wires[0].close()
            assert head.streamed is not None
            held = head.streamed.forms.held
            await until(lambda: held.held["aa"] == 1)
            # A connection stands for whom its last request was of: the other volume's may ask for this one now.
            wires[3].send("/record-read/00000000000000aa/7f3a9c21e0b4d655", headers(9))
            assert (await wires[3].receive())[0] == 404 and held.held["aa"] == 2
            assert head.counters.counts["tenants_bounded"] == 1
    run(main())


def test_a_surge_at_a_real_head_is_refused_to_its_own_tenant(tmp_path: Path) -> None:
    async def main() -> None:
        async with installation(tmp_path) as here, ClientSession(connector=TCPConnector(limit=0)) as client:
            async def slow(request: web.BaseRequest, body: bytes) -> web.StreamResponse | None:
                await asyncio.sleep(0.03)
                return None

            for brick in here.made.bricks:
                brick.behave = slow
            head = await here.head("n0")
            document = GOOD + "(spare (depth 6 units) (wait 30 ms) (queue 16 requests))" + "".join(
                f"(tenant {name} (volumes 00000000000000{name}) (reserve 20 units/s))" for name in ("aa", "bb", "cc"))
            await here.push(document)
            await here.runs(head, "1.1")
            assert follower(head).running == "1.1"
            number, tasks = itertools.count(1), dict[str, list[asyncio.Task[int]]]()
            for step in range(60):
                for name, each in (("aa", 1), ("bb", 1), ("cc", 12)):
                    for _ in range(each if name == "cc" or step % 3 == 0 else 0):
                        tasks.setdefault(name, []).append(asyncio.create_task(
                            put(here, head, client, name, next(number))))
                await asyncio.sleep(0.02)
            codes = {name: Counter(await asyncio.gather(*rows)) for name, rows in tasks.items()}
            assert codes["aa"] == {200: 20} and codes["bb"] == {200: 20}
            assert codes["cc"][503] > 100 and codes["cc"][200] > 20
    run(main())
