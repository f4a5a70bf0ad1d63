"""Why requests earned less than their worth.

Each request that lost worth has one reason: the first that fits, in the order of `Reason`. What a late request took is
split into the time that it waited to be read, the reading of shared parts and of its own, and the making of its first
token; the longest of these is the reason, so the reasons add up to all that is lost.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from hophinge.fleet.analysis.traces import AttemptRow, Request

LARGEST, BENEATH = 0.1, 0.3  # parts of a kind, by size, that the operators count on their own
MIN_WORTH, SIZED_WORTH, MAX_WORTH = 0.3, 0.7, 4.0  # of a generation, against the mean of its kind
OUT_TOKEN = 10  # tokens read that one token made counts as
READ_WAIT = "prefill"


class Reason(Enum):
    """Why a request earned less than its worth."""

    NONE = "in time"
    UNINFORMED = "head without knowledge"
    NO_INSTANCE = "no instance of the stage"
    REFUSED = "refused"
    CLIENT_LEFT = "dead at its deadline"
    FAULT = "broken by a fault"
    MAKING = "late by the wait for its tokens"
    QUEUE = "late behind a queue"
    TWICE = "late by a part read twice at once"
    AGAIN = "late by a part read again"
    COLD = "late by a cold read"
    OWN = "late by its own tokens"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request: what it earns, and its mean tokens by which its route is told from others'."""

    name: str
    worth: float
    late_worth: float
    staged: bool
    tokens: float


@dataclass(frozen=True, slots=True)
class Loss:
    """What one request was owed and lost."""

    kind: str
    size: str
    zone: str
    arrived: float
    owed: float
    lost: float
    reason: Reason


class Reads:
    """When and where each shared part was read, over all requests."""

    def __init__(self, requests: Sequence[Request]) -> None:
        self.of: dict[str, list[tuple[float, float, int]]] = {}
        for number, request in enumerate(requests):
            attempt = reading(request)
            if attempt is None or attempt.over_s is None:
                continue
            unread = attempt.units - (request.parts[-1][1] if request.parts else 0)
            for part, tokens in reversed(request.shared):
                if unread < tokens / 2:
                    break
                unread -= tokens
                self.of.setdefault(part, []).append((request.at + attempt.sent_s, request.at + attempt.over_s, number))

    def earlier(self, part: str, number: int, began: float) -> tuple[bool, bool]:
        """Tell whether a part had been read before, and whether it was being read when a request was sent."""
        others = [(since, until) for since, until, reader in self.of.get(part, ()) if reader != number]
        return any(until <= began for _, until in others), any(since <= began < until for since, until in others)


def reading(request: Request) -> AttemptRow | None:
    """Tell the attempt that read a request's prompt: the first that did not fail."""
    done = [one for one in request.attempts if one.ending in ("READ", "ANSWERED", "FAILED", "BROKEN")]
    return done[0] if done else None


def _sized(request: Request, mean: float) -> float:
    size = request.tokens_in + OUT_TOKEN * request.tokens_out
    return min(MAX_WORTH, MIN_WORTH + SIZED_WORTH * size / mean) if mean else 1.0


def losses(requests: Sequence[Request], kinds: Sequence[Kind]) -> list[Loss]:
    """Tell what each request was owed and lost, and why."""
    reads = Reads(requests)
    routes = _kind_of_routes(requests, kinds)
    found: list[Loss] = []
    for route, kind in routes.items():
        numbered = [(number, one) for number, one in enumerate(requests) if one.route == route]
        sizes = [one.tokens_in + OUT_TOKEN * one.tokens_out for _, one in numbered]
        mean = sum(sizes) / len(sizes)
        ordered = sorted(sizes, reverse=True)
        large, beneath = (ordered[int(part * len(ordered))] for part in (LARGEST, BENEATH))
        for (number, one), size in zip(numbered, sizes, strict=True):
            label = "largest tenth" if size > large else "fifth beneath" if size > beneath else "rest"
            owed = kind.worth * _sized(one, mean)
            reason = _reason(one, number, reads)
            late = one.first_s is not None and one.ending in ("ANSWERED", "FAILED")
            earned = owed if reason is Reason.NONE else owed * kind.late_worth / kind.worth if late else 0.0
            found.append(Loss(kind.name, label, one.zone, one.at, owed, owed - earned, reason))
    return found


def _kind_of_routes(requests: Sequence[Request], kinds: Sequence[Kind]) -> dict[str, Kind]:
    """Match routes with kinds by the mean size of their prompts."""
    tokens: dict[str, list[int]] = {}
    for request in requests:
        tokens.setdefault(request.route, []).append(request.tokens_in)
    return {
        route: min(kinds, key=lambda kind: abs(kind.tokens - sum(sizes) / len(sizes)))
        for route, sizes in tokens.items()
    }


def _reason(request: Request, number: int, reads: Reads) -> Reason:
    if request.ending == "ANSWERED" and request.first_s is not None and request.first_s <= request.aim_s:
        return Reason.NONE
    if request.ending != "ANSWERED":
        return _unserved(request)
    attempt = reading(request)
    failed = [one for one in request.attempts if one.ending not in ("READ", "ANSWERED")]
    if failed and (attempt is None or attempt.sent_s > request.aim_s / 4):
        return Reason.FAULT
    if attempt is None or not request.parts:
        return Reason.QUEUE
    return _late(request, attempt, number, reads)


def _unserved(request: Request) -> Reason:
    if not request.attempts:
        return Reason.NO_INSTANCE
    if request.ending == "client left":
        return Reason.CLIENT_LEFT
    if request.ending.startswith("refused"):
        return Reason.REFUSED
    return Reason.FAULT


def _late(request: Request, attempt: AttemptRow, number: int, reads: Reads) -> Reason:
    """Tell the longest part of a late request's time."""
    apart = attempt.stage == READ_WAIT
    until = attempt.over_s if apart and attempt.over_s is not None else request.first_s or 0.0
    spent = min(attempt.spent_s, until - attempt.sent_s)
    own = min(1.0, request.parts[-1][1] / max(1.0, attempt.units))
    parts = {
        Reason.QUEUE: until - attempt.sent_s - spent,
        Reason.OWN: spent * own,
        Reason.MAKING: max(0.0, (request.first_s or 0.0) - until),
    }
    shared = spent * (1.0 - own)
    before, beside = (
        reads.earlier(request.shared[-1][0], number, request.at + attempt.sent_s) if request.shared else (False, False)
    )
    parts[Reason.AGAIN if before else Reason.TWICE if beside else Reason.COLD] = shared
    return max(parts, key=lambda reason: parts[reason])
