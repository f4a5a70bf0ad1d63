"""Groups by key, books by size, the bound on what is out, caches, and what is late."""

from __future__ import annotations

from random import Random

from hophinge.core.choice.nodes import CEILING
from hophinge.fleet.placement.hints import Hint, Hints, Report, Reports
from hophinge.fleet.placement.placement import Placement
from hophinge.fleet.placement.plan import Plan, Wish
from hophinge.fleet.placement.policy import Order, Policy
from hophinge.fleet.placement.pool import FEW, ended
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.urgency import LATE_PRIORITY, priority_of
from hophinge.fleet.registry.instance import DRAINING, LOST, READY, Instance


def _instance(number: int, stage: str, state: str = READY) -> Instance:
    return Instance(f"i-{number}", "s", f"10.0.0.{number}:80", "z", "v", 8, state, stage, ())


def _placement(prefill: int, decode: int, plain: int = 0) -> Placement:
    placement = Placement("z", lambda identity: None, Random(1))
    for number, stage in enumerate(["prefill"] * prefill + ["decode"] * decode + [""] * plain):
        placement.instance(f"i-{number}", _instance(number, stage))
    placement.configured({"s": 200_000})
    return placement


def _wish(name: str, now: float = 0.0, aim_s: float = 10.0) -> Wish:
    return Wish(now, (name, 1), "s", set(), aim_s, now + aim_s)


def _prompt(key: str, shared: int = 5_000, own: int = 500, name: str = "") -> Prompt:
    return Prompt(shared + own, 50, ((key, shared), (f"own-{key}-{name}", own)))


def _generation(placement: Placement, name: str, prompt: Prompt, aim_s: float = 10.0) -> Plan:
    plan = placement.generation(_wish(name, 0.0, aim_s), prompt)
    assert isinstance(plan, Plan)
    return plan


def test_requests_of_one_key_go_where_its_shared_part_is_kept() -> None:
    placement = _placement(6, 2)
    first = _generation(placement, "a", _prompt("key"))
    assert first.reads
    second = _generation(placement, "b", _prompt("key"))
    assert second.placed.node is first.placed.node
    assert second.placed.units < first.placed.units


def test_a_key_is_spread_over_its_group_where_its_members_are_busy() -> None:
    placement = _placement(8, 1)
    for node in placement.pool("s", "decode").nodes.values():
        node.report = Report(node.instance.identity, 9, 60, 190_000, 200_000)
    prompts = [_prompt("key", 3_000, 3_000, str(number)) for number in range(9)]
    used = {_generation(placement, prompt.parts[1][0], prompt).placed.node.instance.identity for prompt in prompts}
    assert 1 < len(used) <= Policy().group


def test_the_member_whose_book_frees_earliest_takes_a_plain_request() -> None:
    placement = _placement(0, 0, 3)
    taken = []
    for number in range(3):
        plan = placement.plain(_wish("same"), "")
        assert plan is not None
        taken.append(plan.placed.node.instance.identity)
        assert plan.placed.units == 1.0, number
    assert len(set(taken)) == 3


def test_what_others_placed_counts_in_the_books_and_in_the_caches() -> None:
    placement = _placement(2, 1)
    prompt = _prompt("key")
    alone = _generation(placement, "a", prompt).placed.node.instance.identity
    other = _placement(2, 1)
    elsewhere = next(name for name in ("i-0", "i-1") if name != alone)
    other.receive_hints(0.0, Hints((Hint(elsewhere, 100, prompt.parts, 0, 0, 1),)))
    assert _generation(other, "a", prompt).placed.node.instance.identity == elsewhere


def test_what_is_out_at_an_instance_stays_under_the_bound() -> None:
    placement = _placement(0, 0, 1)
    pool = placement.pool("s", "")
    node = next(iter(pool.nodes.values()))
    for number in range(FEW):
        assert pool.room(node, 1.0, 0.001), number
        offer = pool.offers(0.0, [node], lambda one: 1.0, False)[0]
        pool.reserve(0.0, offer, (str(number), 1), number)
    assert not pool.room(node, 1.0, 0.001)
    assert pool.room(node, 1.0, 10.0)


def test_no_instance_gets_more_than_the_ceiling_from_one_head() -> None:
    placement = _placement(0, 0, 1)
    plans = [placement.plain(_wish(str(number)), "") for number in range(CEILING + 3)]
    assert sum(plan is not None for plan in plans) == CEILING


def test_a_request_that_cannot_be_in_time_waits_behind_all_others() -> None:
    placement = _placement(1, 1)
    prompt = _prompt("key", 40_000, 4_000)
    assert _generation(placement, "a", prompt, aim_s=10.0).priority < LATE_PRIORITY
    assert _generation(placement, "b", _prompt("other", 40_000, 4_000), aim_s=0.1).priority == LATE_PRIORITY
    hints = placement.outgoing_hints(0.0)
    assert hints is not None
    assert [hint.priority == LATE_PRIORITY for hint in hints.hints] == [False, True]


def test_late_work_that_waits_does_not_hold_up_what_can_be_in_time() -> None:
    placement = _placement(1, 1)
    under_way = [Hint(name, 1_000, (), 0, 0, 1) for name in ("i-0", "i-1")]
    late = [Hint(name, 900_000, (), LATE_PRIORITY, 0, 2) for name in ("i-0", "i-1")]
    placement.receive_hints(0.0, Hints((*under_way, *late)))
    assert _generation(placement, "a", _prompt("key"), aim_s=1.0).priority < LATE_PRIORITY


def test_late_work_that_is_under_way_is_waited_for_or_passed_by() -> None:
    placement = _placement(2, 1)
    prompt = _prompt("key", 100, 100)
    alone = _generation(placement, "a", prompt).placed.node.instance.identity
    other = _placement(2, 1)
    other.receive_hints(0.0, Hints((Hint(alone, 900_000, (), LATE_PRIORITY, 0, 2),)))
    assert _generation(other, "a", prompt).placed.node.instance.identity != alone


def test_shorter_work_is_admitted_first() -> None:
    placement = _placement(2, 1)
    short = _generation(placement, "a", _prompt("one", 100, 100))
    long = _generation(placement, "b", _prompt("two", 12_000, 1_000))
    assert short.priority < long.priority


def test_a_leaving_instance_gets_nothing_and_an_ended_one_is_forgotten() -> None:
    gone: list[str] = []
    placement = Placement("z", gone.append, Random(1))
    for number in range(2):
        placement.instance(f"i-{number}", _instance(number, ""))
    placement.instance("i-0", _instance(0, "", DRAINING))
    for number in range(4):
        plan = placement.plain(_wish(str(number)), "")
        assert plan is not None
        assert plan.placed.node.instance.identity == "i-1"
    placement.instance("i-0", None)
    assert gone == ["i-0"]


def test_an_instance_that_changes_its_stage_moves_to_the_other_pool() -> None:
    placement = _placement(2, 1)
    placement.instance("i-0", _instance(0, "decode"))
    assert set(placement.pool("s", "prefill").nodes) == {"i-1"}
    assert set(placement.pool("s", "decode").nodes) == {"i-0", "i-2"}


def test_a_full_decode_instance_is_passed_over() -> None:
    placement = _placement(0, 2)
    prompt = _prompt("key", 100, 100)
    first = _generation(placement, "a", prompt).placed.node.instance.identity
    placement.receive_reports(0.0, Reports((Report(first, 12, 60, 199_000, 200_000),)))
    assert _generation(placement, "b", prompt).placed.node.instance.identity != first


def test_an_answer_in_no_time_does_not_make_an_instance_free_of_charge() -> None:
    placement = _placement(1, 1)
    for number in range(200):
        plan = _generation(placement, str(number), _prompt(f"key-{number}", 2_000, 100))
        placement.answered(0.0, plan.placed, False)
        ended(0.0, plan.placed)
    assert all(pool.unit_us(node) > 0 for pool in placement.pools.values() for node in pool.nodes.values())
    assert placement.generation(_wish("last"), _prompt("key")) is not None


def test_the_time_per_unit_follows_what_answers_take() -> None:
    placement = _placement(1, 1)
    pool = placement.pool("s", "prefill")
    node = pool.nodes["i-0"]
    for number in range(60):
        offer = pool.offers(0.0, [node], lambda one: 10_000.0, False)[0]
        placed = pool.reserve(float(number), offer, (str(number), 1), number)
        placement.answered(number + 0.125, placed, False)      # 10 us a unit, and 25 ms beside
        ended(number + 0.125, placed)
    assert 8.0 < pool.unit_us(node) < 13.0


def test_an_instance_that_answers_here_is_used_whatever_the_core_has_heard() -> None:
    placement = _placement(0, 0, 2)
    plan = placement.plain(_wish("a"), "")
    assert plan is not None
    answering = plan.placed.node.instance.identity
    placement.answered(0.1, plan.placed, False)
    for number in range(2):
        placement.instance(f"i-{number}", _instance(number, "", LOST))
    for number in range(3):
        plan = placement.plain(_wish(str(number), 1.0), "")
        assert plan is not None
        assert plan.placed.node.instance.identity == answering


def test_one_that_only_the_core_takes_for_lost_is_tried_where_there_is_no_other() -> None:
    placement = _placement(0, 0, 1)
    placement.instance("i-0", _instance(0, "", LOST))
    assert placement.plain(_wish("a"), "") is not None
    placement.instance("i-1", _instance(1, ""))
    plan = placement.plain(_wish("b"), "")
    assert plan is not None
    assert plan.placed.node.instance.identity == "i-1"


def test_a_leaving_one_is_never_tried() -> None:
    placement = _placement(0, 0, 1)
    placement.instance("i-0", _instance(0, "", DRAINING))
    assert placement.plain(_wish("a"), "") is None


def test_shorter_work_comes_first_and_what_is_late_last_unless_a_trial_says_otherwise() -> None:
    by_length = [priority_of(Policy(), spent_us, False) for spent_us in (10_000.0, 90_000.0, 500_000.0, 2_000_000.0)]
    assert by_length == sorted(set(by_length))
    assert priority_of(Policy(), 10_000.0, True) == LATE_PRIORITY > by_length[-1]
    by_arrival = Policy(order=Order.ARRIVAL)
    assert priority_of(by_arrival, 10_000.0, False) == priority_of(by_arrival, 2_000_000.0, False)
    assert priority_of(Policy(late_last=False), 10_000.0, True) == by_length[0]


def test_answers_that_are_being_made_weigh_little_in_where_a_prompt_is_read() -> None:
    """Ten answers cost a reading instance less than a quarter of the prompt's own time: their pauses stay bounded."""
    chosen = []
    for share in (Policy().streams_share, 4.0):
        placement = Placement("z", lambda identity: None, Random(1), policy=Policy(streams_share=share))
        for number, stage in enumerate(("prefill", "decode")):
            placement.instance(f"i-{number}", _instance(number, stage))
        placement.configured({"s": 200_000})
        placement.receive_hints(0.0, Hints((Hint("i-0", 20_000, (), 0, 0, 1),)))      # the prefill instance is busy
        placement.nodes["i-1"].report = Report("i-1", 0, 8, 100, 200_000)
        chosen.append(_generation(placement, "a", _prompt("key", 0, 3_000)).reads)
    assert chosen == [False, True]
