"""What a head did with a client's request: each attempt with its outcome, the response, and what that promises.

One line of the operator's log for each request tells whether it may have run, and what its client was told of that.
"""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.fleet.forwarding.attempt_results import MISDIRECTED, NOT_EXECUTED_STATUSES
from hophinge.fleet.forwarding.headers import REQUEST_ID, Fields, find_field
from hophinge.fleet.forwarding.trace import Attempt

UNKNOWN = "-"


def promises_not_executed(status: int) -> bool:
    """Return whether a status tells the client that its request has not run and never will."""
    return status == MISDIRECTED or status in NOT_EXECUTED_STATUSES


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """One request of a client that is over."""

    request: str  # its id
    client: str  # address of its connection
    status: int  # of the response; 0 where none was begun
    reason: str  # why it ended so
    route: str = UNKNOWN
    route_type: str = UNKNOWN
    attempts: tuple[Attempt, ...] = ()

    @classmethod
    def without_attempts(
        cls, fields: Fields, client: tuple[str, int] | None, status: int, reason: str
    ) -> CompletedRequest:
        """Return a request that was never sent to an instance."""
        return cls(find_field(fields, REQUEST_ID) or UNKNOWN, client_name(client), status, reason)

    def event(self) -> str:
        """Return the event for the operator's log; times of attempts are seconds since the request's arrival."""
        promise = "not-executed" if promises_not_executed(self.status) else "none"
        attempts = ",".join(_describe(attempt) for attempt in self.attempts) or UNKNOWN
        return (
            f"request completed request={self.request} client={self.client} route={self.route} type={self.route_type}"
            f" attempts={attempts} status={self.status} promise={promise} reason={self.reason}"
        )


def client_name(client: tuple[str, int] | None) -> str:
    """Return the address of a client's connection, by which requests sent ahead on it are found."""
    return f"{client[0]}:{client[1]}" if client is not None else UNKNOWN


def _describe(attempt: Attempt) -> str:
    ended = f"{attempt.over_s:.3f}" if attempt.over_s is not None else ""
    return f"{attempt.stage or 'plain'}@{attempt.instance}:{attempt.sent_s:.3f}-{ended}:{attempt.ending}"
