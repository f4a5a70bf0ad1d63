"""What a soak has to have kept; it needs no rule book but the promises that statuses and whole answers make."""

from __future__ import annotations

import re
import signal
from collections import Counter
from collections.abc import Iterator

from tests.soak_client import Done, Outcome
from tests.soak_document import MAX_REST_S
from tests.soak_crowds import is_about_crowd
from tests.soak_fleet import MEMORY_MB, Soak
from tests.soak_instances import EVENTS
from tests.soak_manners import KINDS, OVERSIZED

SERVED_FRACTION = 0.97  # of requests whose route is always there, so that refusing everything does not pass
BY_CLIENT = re.compile(r"response aborted request=(\S+) route=\S+ side=client ")
BAD_WORDS = ("aborted", "Traceback", "failed", "Error", "Exception")


def findings(soak: Soak) -> list[str]:
    """Tell all that is wrong, a line each."""
    return [*_requests(soak), *_processes(soak), *_rest(soak)]


def summary(soak: Soak) -> dict[str, object]:
    """Tell in figures what was played."""
    outcomes = Counter(f"{done.outcome.name} {done.status}" for done in soak.done)
    return {
        "seed": soak.seed,
        "requests": len(soak.done),
        "outcomes": dict(sorted(outcomes.items())),
        "changes": soak.draft.version,
        "restarts": len(soak.exits),
        "hangups": soak.hangups,
        "leavings": soak.instances.leavings,
        "crowds": soak.crowds.played,
        "peak-mb": round(max(soak.crowds.peaks_mb.values(), default=0.0)),
        "orders": sum(one.engine.order_count for one in soak.instances.all),
    }


def _requests(soak: Soak) -> Iterator[str]:
    runs = Counter(run.request for one in soak.instances.all for run in one.engine.runs)
    arrived = {name for one in soak.instances.all for name in one.received_requests}
    for done in soak.done:
        where = f"{done.kind} {done.name} ({done.manner}) at head {done.head}, {done.over_at - done.sent_at:.3f} s"
        kind = KINDS[done.kind]
        if done.outcome in (Outcome.CUT, Outcome.SILENT, Outcome.UNANSWERED):
            yield f"{done.outcome.name} {done.status}: {where}, {len(done.body)} bytes"
        if done.outcome is Outcome.UNREAD and (done.name in arrived):
            yield f"an instance got it and its client nothing: {where}"
        if done.outcome is Outcome.BEHIND and done.name in arrived:
            yield f"an instance got it behind the close: {where}"
        if done.outcome is Outcome.ANSWERED_BEHIND:
            yield f"answered {done.status} behind the close: {where}"
        if done.outcome is Outcome.FAILED and not _is_expected_failure(done):
            yield f"answered {done.status}: {where}"
        if done.outcome is Outcome.REFUSED and runs[done.name]:
            yield f"refused with {done.status}, and it ran: {where}"
        if runs[done.name] > 1 and not kind.idempotent:
            yield f"ran {runs[done.name]} times: {where}"
        if done.outcome is Outcome.WHOLE:
            yield from _complete(done, where)
    always = [done for done in soak.done if not KINDS[done.kind].may_be_unknown and not _is_clients_own(done)]
    served = sum(done.outcome is Outcome.WHOLE for done in always)
    if served < SERVED_FRACTION * len(always) or len(always) < 20:
        others = Counter(
            f"{done.kind} {done.outcome.name} {done.status}" for done in always if done.outcome is not Outcome.WHOLE
        )
        refusals = [dict(member["requests"]["refusals"]) for member in soak.members]
        yield f"only {served} of {len(always)} requests were served; others {dict(others)}; heads' refusals {refusals}"
    if len({done.name for done in soak.done}) != len(soak.done):
        yield "two requests bear one name"


def _is_expected_failure(done: Done) -> bool:
    """Tell whether a status is due to what the client sent, or to a route that comes and goes."""
    if done.status == 431:
        return done.name.endswith(OVERSIZED)
    return done.status == 404 and KINDS[done.kind].may_be_unknown


def _is_clients_own(done: Done) -> bool:
    """Return whether a request has no whole answer by its client's doing.

    It left, sent it behind a close or with too large a header, or sent it on a connection that had rested for longer
    than clients may: the head had closed it before, as the configuration says.
    """
    is_late = done.outcome is Outcome.UNREAD and done.rested_s > MAX_REST_S
    is_given_up = done.outcome in (Outcome.LEFT, Outcome.BEHIND) or done.name.endswith(OVERSIZED)
    return is_late or is_given_up


def _complete(done: Done, where: str) -> Iterator[str]:
    if KINDS[done.kind].streams:
        ids = [line for line in done.body.decode().splitlines() if line.startswith("id:")]
        if ids != [f"id: {number}" for number in range(1, EVENTS + 1)]:
            yield f"its events are {ids}: {where}"
    elif not done.body.decode().endswith(done.name):
        yield f"an answer of another request, {done.body!r}: {where}"


def _processes(soak: Soak) -> Iterator[str]:
    for end in soak.exits:
        if not end.asked:
            yield f"{end.process} ended by itself with {end.status}"
        elif end.status != 0 and (end.served or end.status != -signal.SIGTERM):
            yield f"{end.process} ended with {end.status}"
    left = {done.name for done in soak.done if done.outcome is Outcome.LEFT}
    for name, peak_mb in soak.crowds.peaks_mb.items():
        if peak_mb >= MEMORY_MB:
            yield f"{name} took {peak_mb:.0f} MB"
    for name, lines in soak.logs.items():
        for line in lines:
            if (
                any(word in line for word in BAD_WORDS)
                and "Fatal" not in line
                and not _is_client_disconnect(line, left)
                and not is_about_crowd(line)
            ):
                yield f"{name} says: {line}"


def _is_client_disconnect(line: str, left: set[str]) -> bool:
    """Tell whether a line is about a request whose client left, and says so."""
    found = BY_CLIENT.search(line)
    return found is not None and found[1] in left


def _rest(soak: Soak) -> Iterator[str]:
    yield from sorted(soak.instances.spared)
    expected = set(soak.fleet.instances)
    for member in soak.members:
        if set(member["instances"]) != expected:
            yield f"{member['address']} knows other instances: {sorted(set(member['instances']) ^ expected)}"
        for identity, seen in member["instances"].items():
            if seen["out"]:
                yield f"{member['address']} counts {seen['out']} requests out at {identity}, at rest"
