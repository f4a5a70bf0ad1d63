"""A head's side of its own permit: when it may begin, and which updates of the issuer it has to follow.

A head goes offline only after the issuer has confirmed that the begin is stored. Gossip can delay this, but never allow
it: a halt of a release that another member has received counts like one that this head has received.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from hophinge.cluster.interface import Entry, Topic
from hophinge.core.errors import HophingeError
from hophinge.maintenance.messages import PermitUpdate
from hophinge.maintenance.permits import BEGIN_US, Permit, PermitState

HALT_KEY_PREFIX = "halt/"  # before NAME/ATTEMPT in the key of a replicated entry that announces a halt
HEAD_REQUESTER_PREFIX = "head "  # of the requester of permits that heads request for themselves


class IssuerError(HophingeError):
    """An update came from a store other than the one that this head gets its permits from."""

    code = "permit-issuer-unknown"
    remedy = "Let all control services of an installation use one store; restart the head to let it use another store."


class GoOffline(Struct, frozen=True):
    """Stop this process; the next one is to run the build (empty: any)."""

    permit: str
    build: str


class PermitHolder:
    """The permit of one head, and its own request for one.

    Args:
        process: The id of this process.
        build: The build of this process.

    """

    def __init__(self, process: int, build: str) -> None:
        self.process = process
        self.build = build
        self.update: PermitUpdate | None = None
        self.requested_key = ""  # of this head's own request
        self.requested_at_us = 0
        self.renewals = 0  # number of renewed requests, whose grant came too late to begin
        self.begin_deadlines: dict[str, int] = {}  # by permit id: the time from which this head must not begin
        self.last_departure: str = ""  # PERMIT/BUILD of the last `GoOffline`
        self.stale_updates = 0  # updates that were received after later ones

    def request(self, now_us: int, key: str) -> None:
        """Request to go offline; the request remains until it is withdrawn."""
        self.requested_key = key
        self.requested_at_us = now_us

    def withdraw_request(self) -> None:
        """Withdraw the request; a permit that was granted for it expires."""
        self.requested_key = ""

    def pending_key(self, now_us: int) -> str:
        """Return the key of the request, empty if there is none.

        A request that has led to no begin within `BEGIN_US` is renewed under another key.
        """
        own = self.update.own_permit if self.update is not None else None
        is_unanswered = own is None or (own.state is PermitState.GRANTED and own.request_key == self.requested_key)
        if self.requested_key and is_unanswered and now_us >= self.requested_at_us + BEGIN_US:
            self.renewals += 1
            self.requested_key = f"{self.requested_key.partition('#')[0]}#{self.renewals}"
            self.requested_at_us = now_us
        return self.requested_key

    def apply_update(self, now_us: int, update: PermitUpdate) -> list[GoOffline]:
        """Apply the issuer's update; an update that is older than the last one has no effect.

        Raises:
            IssuerError: The update comes from another store.

        """
        previous = self.update
        if previous is not None:
            if update.issuer != previous.issuer:
                raise IssuerError(f"the update comes from the store {update.issuer}, not from {previous.issuer}")
            if (update.fencing_token, update.sequence) <= (previous.fencing_token, previous.sequence):
                self.stale_updates += 1
                return []
        self.update = update
        own = update.own_permit
        if own is None:
            self.begin_deadlines.clear()
            return []
        if own.state is PermitState.GRANTED:
            is_own_request = own.requester.startswith(HEAD_REQUESTER_PREFIX) and own.request_key == self.requested_key
            self.begin_deadlines.setdefault(own.id, (self.requested_at_us if is_own_request else now_us) + BEGIN_US)
        elif self._must_go_offline(own):
            self.last_departure = f"{own.id}/{own.build}"
            return [GoOffline(own.id, own.build)]
        return []

    def _must_go_offline(self, own: Permit) -> bool:
        """Whether a permit that has begun requires this process to end; it never expires."""
        if self.last_departure == f"{own.id}/{own.build}" or own.state is PermitState.FREE:
            return False
        if own.process == self.process:
            return True
        # Back with a build that is no longer wanted: it goes offline once more under the same permit.
        return bool(own.build) and own.build != self.build and own.state in (PermitState.OUT, PermitState.BACK)

    def permit_to_begin(self, now_us: int, halted_by_peers: Iterable[str] = ()) -> str:
        """Return the id of the permit that this head may begin now, empty if there is none.

        Args:
            now_us: The current time.
            halted_by_peers: Releases of which other members have received a halt, as NAME/ATTEMPT.

        """
        own = self.update.own_permit if self.update is not None else None
        if own is None or own.state is not PermitState.GRANTED or now_us >= self.begin_deadlines.get(own.id, 0):
            return ""
        halted = {*halted_by_peers, *(self.update.halted_releases if self.update is not None else ())}
        if any(own.request_key.startswith(f"{release}/") for release in halted):
            return ""
        if own.requester.startswith(HEAD_REQUESTER_PREFIX) and own.request_key != self.requested_key:
            return ""
        return own.id


def halted_releases(entries: Iterable[Entry]) -> set[str]:
    """Return the releases of which other members have received a halt, as NAME/ATTEMPT."""
    return {
        entry.key.removeprefix(HALT_KEY_PREFIX)
        for entry in entries
        if entry.topic is Topic.DRAINS and entry.key.startswith(HALT_KEY_PREFIX)
    }
