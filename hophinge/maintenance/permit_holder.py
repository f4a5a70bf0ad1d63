"""A head's own side of its permit: when it may begin to go, and what it was told that it has to keep to.

It goes only once the issuer has told it that the begin is stored. Hearsay can hold it back and never lets it go: a
halt that a peer has heard of counts as one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from hophinge.cluster.interface import Entry, Topic
from hophinge.core.errors import HophingeError
from hophinge.maintenance.messages import PermitUpdate
from hophinge.maintenance.permits import BEGIN_US, Permit, PermitState

HALT_KEY_PREFIX = "halt/"  # before NAME/AGAIN in the key of an entry that tells of a halt


class IssuerError(HophingeError):
    """Words of another store than the one that this head takes its permits from."""

    code = "permit-issuer-unknown"
    remedy = "Let all control services of an installation use one store; restart the head to have it follow another."


class GoOffline(Struct, frozen=True):
    """Go out, and come back with the build (empty: with any)."""

    permit: str
    build: str


class PermitHolder:
    """One head process's permit; `process` and `build` are its own."""

    def __init__(self, process: int, build: str) -> None:
        self.process, self.build = process, build
        self.update: PermitUpdate | None = None
        self.requested_key, self.requested_at_us = "", 0  # the key of an ask of this head's own
        self.renewals = 0  # that were renewed, as what was granted came too late to be begun
        self.begin_deadlines: dict[str, int] = {}  # permits, and when this head may not begin them any more
        self.last_departure: str = ""  # the permit and build that it was last let go for
        self.stale_updates = 0  # words that came behind later ones

    def request(self, now_us: int, key: str) -> None:
        """Wish to go out; the wish stands until it is taken back."""
        self.requested_key, self.requested_at_us = key, now_us

    def withdraw_request(self) -> None:
        """Take the wish back; what was granted for it lapses."""
        self.requested_key = ""

    def pending_key(self, now_us: int) -> str:
        """Tell the key to ask with, or nothing; one that got no answer in its time is asked anew, as another."""
        own = self.update.own_permit if self.update is not None else None
        unanswered = own is None or (own.state is PermitState.GRANTED and own.request_key == self.requested_key)
        if self.requested_key and unanswered and now_us >= self.requested_at_us + BEGIN_US:
            self.renewals += 1
            self.requested_key, self.requested_at_us = f"{self.requested_key.partition('#')[0]}#{self.renewals}", now_us
        return self.requested_key

    def apply_update(self, now_us: int, update: PermitUpdate) -> list[GoOffline]:
        """Take a word; one that is older than what is held changes nothing. Raises IssuerError."""
        before = self.update
        if before is not None:
            if update.issuer != before.issuer:
                raise IssuerError(f"a word of the store {update.issuer}, not of {before.issuer}")
            if (update.fencing_token, update.sequence) <= (before.fencing_token, before.sequence):
                self.stale_updates += 1
                return []
        self.update = update
        own = update.own_permit
        if own is None:
            self.begin_deadlines.clear()
            return []
        if own.state is PermitState.GRANTED:
            is_own_request = own.requester.startswith("head ") and own.request_key == self.requested_key
            self.begin_deadlines.setdefault(own.id, (self.requested_at_us if is_own_request else now_us) + BEGIN_US)
        elif self._must_go_offline(own):
            self.last_departure = f"{own.id}/{own.build}"
            return [GoOffline(own.id, own.build)]
        return []

    def _must_go_offline(self, own: Permit) -> bool:
        """Tell whether a permit that is begun has this process go; it never ends by time."""
        if self.last_departure == f"{own.id}/{own.build}" or own.state is PermitState.FREE:
            return False
        if own.process == self.process:
            return True
        # Back with a build that is not wanted any more: it goes once more, under the same permit.
        return bool(own.build) and own.build != self.build and own.state in (PermitState.OUT, PermitState.BACK)

    def permit_to_begin(self, now_us: int, halted_by_peers: Iterable[str] = ()) -> str:
        """Tell the permit that this head wants to begin, or nothing; `halted` are releases as peers have heard."""
        own = self.update.own_permit if self.update is not None else None
        if own is None or own.state is not PermitState.GRANTED or now_us >= self.begin_deadlines.get(own.id, 0):
            return ""
        known = {*halted_by_peers, *(self.update.halted_releases if self.update is not None else ())}
        if any(own.request_key.startswith(f"{one}/") for one in known):
            return ""
        if own.requester.startswith("head ") and own.request_key != self.requested_key:
            return ""
        return own.id


def halted_releases(entries: Iterable[Entry]) -> set[str]:
    """Tell the releases that peers have heard are halted, as NAME/AGAIN."""
    return {
        entry.key.removeprefix(HALT_KEY_PREFIX)
        for entry in entries
        if entry.topic is Topic.DRAINS and entry.key.startswith(HALT_KEY_PREFIX)
    }


def drains(word: PermitUpdate | None) -> tuple[Mapping[str, str], Mapping[str, str]]:
    """Tell what a word says of bricks: permits of those that are out, and of those to take up."""
    return (word.ejected, word.restored) if word is not None else ({}, {})
