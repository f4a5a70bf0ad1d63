"""The control service's side of one stream, without I/O: tracks what the head has stored and chooses what to send next.

A version is sent as the difference from the records that the head has: batches of records first, the version itself
last. Only one version is in flight at a time; of the versions that are published meanwhile only the newest is sent. A
version that the head rejected is not sent again on this stream. A new stream offers it once more, as the head may by
then run another build.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import Struct

from hophinge.control.delta_cache import DeltaCache
from hophinge.control.messages import (
    NO_VERSION,
    VERSION_NAME,
    DiscoveryRequest,
    ResourceType,
    VersionId,
    parse_version_text,
    version_name,
)
from hophinge.control.snapshot import Snapshot


class VersionAcknowledged(Struct, frozen=True):
    """A head has activated a version."""

    version_id: VersionId


class VersionRejected(Struct, frozen=True):
    """A head has rejected a version."""

    version_id: VersionId
    reason: str


class HeadSubscribed(Struct, frozen=True):
    """A head has subscribed to records and versions, with its name and the version that it runs."""

    head: str
    running: VersionId


Event = VersionAcknowledged | VersionRejected | HeadSubscribed


class PublisherStep(NamedTuple):
    """Result of a request: the events that it caused, and encoded responses to send."""

    events: list[Event]
    frames: Sequence[bytes]


@dataclass
class Publisher:
    """State of one stream."""

    deltas: DeltaCache
    head: str = ""
    metrics: Mapping[str, float] = field(default_factory=dict)
    initial_versions: Mapping[str, str] | None = None  # of the head's subscription; None again once a version is sent
    last_sent: Snapshot | None = None  # the last version sent on this stream
    in_flight: Snapshot | None = None
    target: Snapshot | None = None
    rejected: set[VersionId] = field(default_factory=set)
    running: VersionId = NO_VERSION
    subscribed: set[ResourceType] = field(default_factory=set)
    sent_count: int = 0

    def on_request(self, request: DiscoveryRequest) -> PublisherStep:
        """Process a request of the head."""
        events: list[Event] = []
        self.metrics = request.metrics or self.metrics
        if request.subscribe and request.resource_type not in self.subscribed:
            events += self._subscribe(request)
        elif self.in_flight is not None and self._answers(request, self.in_flight):
            events.append(self._conclude(self.in_flight.id, request.error))
        return PublisherStep(events, self._next_responses())

    @staticmethod
    def _answers(request: DiscoveryRequest, snapshot: Snapshot) -> bool:
        return request.resource_type is ResourceType.VERSION and request.nonce == version_name(snapshot.id)

    def _subscribe(self, request: DiscoveryRequest) -> list[Event]:
        self.subscribed.add(request.resource_type)
        if request.resource_type is ResourceType.RECORD:
            self.head = request.head
            self.initial_versions = dict(request.initial_versions)
        else:
            self.running = parse_version_text(request.initial_versions.get(VERSION_NAME, ""))
        return [HeadSubscribed(self.head, self.running)] if self._is_subscribed else []

    @property
    def _is_subscribed(self) -> bool:
        return len(self.subscribed) == 2  # to records and to the version

    def _conclude(self, version_id: VersionId, error: str) -> Event:
        self.in_flight = None
        if error:
            self.rejected.add(version_id)
            return VersionRejected(version_id, error)
        self.running = version_id
        return VersionAcknowledged(version_id)

    def set_target(self, target: Snapshot | None) -> Sequence[bytes]:
        """Set the version that the head is to run; returns encoded responses to send."""
        self.target = target
        return self._next_responses()

    def _next_responses(self) -> Sequence[bytes]:
        target = self.target
        if target is None or self.in_flight is not None or not self._is_subscribed:
            return []
        if target.id in self.rejected or (target.id == self.running and self.initial_versions is None):
            return []
        if self.initial_versions is not None:
            responses = self._first_responses(target, self.initial_versions)
            self.initial_versions = None
        elif self.last_sent is target:
            return []
        else:
            responses = self.deltas.responses(self.last_sent, target)
        self.last_sent = self.in_flight = target
        self.sent_count += 1
        return list(responses)

    def _first_responses(self, target: Snapshot, initial_versions: Mapping[str, str]) -> Sequence[bytes]:
        if initial_versions:
            return self.deltas.encode(target, target.delta_from(initial_versions))
        return self.deltas.responses(None, target)
