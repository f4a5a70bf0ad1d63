"""The simulator's adapter: replies to batches given as text."""

from __future__ import annotations

import io
import json

import pytest

from hophinge.head.adapter import serve

SETUP = {
    "Me": 0,
    "Balancers": 1,
    "PeriodUs": 2000,
    "Discovery": "pushed",
    "Novelty": 1,
    "RequestClasses": [{"GoalTimeUs": 300000, "DeadlineUs": 2000000, "Effect": "pure", "Importance": 2}],
    "Grades": [{"BaseRate": 5, "Reserve": 5, "Proportion": 1, "Price": 1}],
    "Caps": {"MaxAttempts": 3},
    "Domain": {"Largest": 6, "MeanUnits": 2, "WithinShare": 0.4, "BeyondShare": 0.1},
}
START = [
    "on\t0",
    f"start\t5\t{json.dumps(SETUP)}",
    "register\t0\t1",
    "node\tnode-a\t0\t0\t0\ton\t1\t-",
    "view\tPersisted\t1\t0",
]
ASK = "inbound\t00000000000000aa\t2\tv\t0\t0\t1\t-\t2000000\t0\t0\t0"


def run_batches(*batches: list[str]) -> tuple[int, list[str]]:
    text = "".join(
        "\n".join([f"turn\t{1000000 + 2000 * number}", *batch, "eof_batch", ""]) for number, batch in enumerate(batches)
    )
    output = io.StringIO()
    status = serve(io.StringIO(text), output)
    return status, [reply.strip() for reply in output.getvalue().split("done\n")[:-1]]


def test_empty_batch_and_end_of_input() -> None:
    assert run_batches([]) == (0, [""])


def test_request_is_sent_and_unknown_report_values_are_accepted() -> None:
    done = "completed\t00000000000000aa\t0\tnode-a\tdone\t900\t1\t-\t-\trif:3,novel:1"
    status, replies = run_batches([*START, ASK], ["on\t0", done, "heard\t1\tff"])
    assert status == 0 and "try\t00000000000000aa\t0\tnode-a" in replies[0] and "broken" not in replies[1]


def test_restart_inside_a_batch_discards_the_actions_of_the_killed_instance() -> None:
    status, replies = run_batches(START, ["on\t0", ASK, "halt", *START[1:]])
    assert status == 0 and "try" not in replies[1]


def test_instances_are_independent() -> None:
    other = ["on\t1", *START[1:]]
    alone, both = run_batches([*START, ASK])[1], run_batches([*START, ASK, *other])[1]
    assert both[0].startswith(alone[0])


@pytest.mark.parametrize("line", ["nonsense\t1", "inbound\tshort", ASK.replace("\t2\tv", "\tmany\tv")])
def test_malformed_line_is_reported_in_the_reply_and_on_standard_error(
    line: str, capsys: pytest.CaptureFixture[str]
) -> None:
    status, replies = run_batches(START, ["on\t0", line])
    assert status == 1 and replies[1].startswith("broken\t") and line.split("\t")[0] in replies[1]
    assert line.split("\t")[0] in capsys.readouterr().err
