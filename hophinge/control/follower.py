"""A head's side of the stream, without I/O: it receives, validates, and activates or rejects versions.

Each event is a method call that returns the actions to carry out; `now_us` is the monotonic time in microseconds. The
follower owns the replica (the records that the service believes are stored here, valid or not) and the active version
(always complete and validated).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from hophinge.control.config_replica import MAX_REASON_CHARS, ConfigReplica, summarize
from hophinge.control.follower_actions import (
    Action,
    ApplyTable,
    CloseStream,
    FollowerState,
    LogMessage,
    OpenStream,
    PersistVersion,
    SendRequest,
)
from hophinge.control.messages import (
    NO_VERSION,
    VERSION_NAME,
    ConfigVersion,
    DiscoveryRequest,
    DiscoveryResponse,
    MalformedMessageError,
    ResourceType,
    VersionedRecord,
    VersionId,
    version_name,
    version_text,
)
from hophinge.control.reconnect_policy import ReconnectPolicy
from hophinge.control.wire import decode_version
from hophinge.routing.capabilities import HeadCapabilities
from hophinge.routing.routing_table import RoutingTable

CONNECT_TIMEOUT_US = 3_000_000  # from opening a stream to its first response
MIN_STABLE_STREAM_US = 5_000_000  # a stream that ends sooner counts as a failed attempt: the backoff keeps growing
RECORDS_TIMEOUT_US = 1_000_000  # for records that arrive after their version
MAX_REJECTED = 64  # rejected versions whose reason is remembered
COUNTERS = ("taken_up", "turned_down", "truncated", "connects", "failovers", "replayed")  # keys of the status


class Follower:
    """State of one head; `next_tick_us` is when `tick` is to be called next.

    Args:
        head: Name of the head.
        endpoints: Addresses of control services, in order of preference.
        capabilities: Capabilities of this head, against which versions are validated.
        seed: Seed of the backoff's jitter.
        idle_timeout_us: A stream is closed after this time without a response.
        stale_after_us: The configuration is reported as stale after this time without a response on any stream.

    """

    def __init__(
        self,
        head: str,
        endpoints: Iterable[str],
        capabilities: HeadCapabilities,
        seed: int,
        idle_timeout_us: int,
        stale_after_us: int,
    ) -> None:
        self.head = head
        self.reconnect = ReconnectPolicy(tuple(endpoints), seed)
        self.replica = ConfigReplica(capabilities)
        self.idle_timeout_us = idle_timeout_us
        self.stale_after_us = stale_after_us
        self.active_version: ConfigVersion | None = None
        self.pending_version: ConfigVersion | None = None  # announced, neither activated nor rejected yet
        self.pending_nonce = ""
        self.pending_deadline_us = 0
        self.rejected: dict[tuple[VersionId, int], str] = {}  # reason, by version id and sum of fingerprints
        self.state = FollowerState.NONE
        self.reason = ""
        self.resynced: set[VersionId] = set()  # versions for which all records were requested again
        self.persisted_id: VersionId = NO_VERSION
        self.persist_error = ""
        self.metrics: Mapping[str, float] = {}
        self.is_connected = False
        self.is_connecting = False
        self.last_response_us = 0  # on any stream
        self.opened_at_us = 0  # time of the first response on the open stream
        self.next_tick_us = 0
        self.is_stale = False
        self.counters = dict.fromkeys(COUNTERS, 0)

    # --- connection

    def start(self, now_us: int) -> list[Action]:
        """Start connecting; a persisted version must be passed to `restore` before."""
        self.last_response_us = now_us
        return self._connect(now_us)

    def restore(self, version: ConfigVersion, rows: Iterable[tuple[str, str, bytes]]) -> list[Action]:
        """Activate the last known good version, unless it fails validation on this head."""
        if reasons := self.replica.restore(version, rows):
            return [LogMessage(f"last known good version {version_name(version.id)} is rejected: {summarize(reasons)}")]
        self.persisted_id = version.id
        return [
            *self._activate(version),
            LogMessage(f"version {version_name(version.id)} is active, restored from disk"),
        ]

    def _connect(self, now_us: int) -> list[Action]:
        self.is_connecting = True
        self.is_connected = False
        self.next_tick_us = now_us + CONNECT_TIMEOUT_US
        self.counters["connects"] += 1
        active = self.active_version
        active_text = {VERSION_NAME: version_text(active.id, active.fingerprint_sum)} if active else {}
        stored_texts = {name: record.version_text for name, record in self.replica.stored.items()}
        subscribe_records = DiscoveryRequest(
            ResourceType.RECORD, subscribe=True, initial_versions=stored_texts, head=self.head, metrics=self.metrics
        )
        subscribe_version = DiscoveryRequest(ResourceType.VERSION, subscribe=True, initial_versions=active_text)
        return [OpenStream(self.reconnect.endpoint, (subscribe_records, subscribe_version))]

    def on_stream_closed(self, now_us: int, reason: str) -> list[Action]:
        """Process the end of a stream, or a failed attempt to open one."""
        if not self.is_connecting and not self.is_connected:
            return []
        was_stable = self.is_connected and now_us - self.opened_at_us >= MIN_STABLE_STREAM_US
        self.is_connecting = False
        self.is_connected = False
        self.pending_version = None  # the next stream announces it again
        if self.state is FollowerState.RECEIVED:
            self.state = FollowerState.IN_FORCE if self.active_version else FollowerState.NONE
        self.next_tick_us = now_us + self.reconnect.record_failure(was_stable)
        self.counters["failovers"] += len(self.reconnect.endpoints) > 1
        return [LogMessage(f"stream closed: {reason}; the next endpoint is {self.reconnect.endpoint}")]

    def tick(self, now_us: int) -> list[Action]:
        """Process expired timeouts: report staleness, stop waiting for records, close an idle stream, reconnect."""
        actions: list[Action] = []
        if not self.is_stale and now_us - self.last_response_us >= self.stale_after_us:
            self.is_stale = True
            cause = f"no response from a control service for {self.stale_after_us / 1e6:g} s"
            actions.append(LogMessage(f"{cause}: version {self.active_name} is stale and stays active"))
        if self.pending_version is not None and now_us >= self.pending_deadline_us:
            actions += self._on_records_missing(self.pending_version, now_us)
        elif self.is_connected and now_us - self.last_response_us >= self.idle_timeout_us:
            reason = f"silent for {self.idle_timeout_us / 1e6:g} s"
            actions += [CloseStream("idle timeout"), *self.on_stream_closed(now_us, reason)]
        elif self.is_connecting and now_us >= self.next_tick_us:
            reason = f"no response within {CONNECT_TIMEOUT_US / 1e6:g} s"
            actions += [CloseStream("connect timeout"), *self.on_stream_closed(now_us, reason)]
        elif not self.is_connecting and not self.is_connected and now_us >= self.next_tick_us:
            actions += self._connect(now_us)
        self._schedule_tick()
        return actions

    def _schedule_tick(self) -> None:
        if self.is_connected:
            self.next_tick_us = self.last_response_us + self.idle_timeout_us
            if self.pending_version is not None:
                self.next_tick_us = min(self.next_tick_us, self.pending_deadline_us)

    # --- responses

    def on_response(self, now_us: int, response: DiscoveryResponse) -> list[Action]:
        """Process a response; a version is answered once it is activated or rejected, anything else at once."""
        if not self.is_connecting and not self.is_connected:
            return []
        if self.is_connecting:
            self.opened_at_us = now_us
        self.is_connecting = False
        self.is_connected = True
        self.last_response_us = now_us
        self.is_stale = False
        if response.resource_type is ResourceType.RECORD:
            actions = self._on_records(response)
        else:
            actions = self._on_version(now_us, response)
        self._schedule_tick()
        return actions

    def _on_records(self, response: DiscoveryResponse) -> list[Action]:
        applied = self.replica.apply_response(response)
        self.counters["replayed"] += applied.replayed
        answer = self._answer(response.resource_type, response.nonce, summarize(applied.errors))
        return [answer, *self._evaluate_pending()]

    def _on_version(self, now_us: int, response: DiscoveryResponse) -> list[Action]:
        if not response.resources:
            return [self._answer(response.resource_type, response.nonce)]
        try:
            version = decode_version(response.resources[0].body)
        except MalformedMessageError as error:
            return [
                self._answer_version(response.nonce, str(error)),
                LogMessage(f"a version is rejected: {error}"),
            ]
        actions: list[Action] = []
        if self.pending_version is not None and self.pending_nonce != response.nonce:
            superseded = f"superseded by version {version_name(version.id)} before all of its records arrived"
            actions.append(self._answer_version(self.pending_nonce, superseded))
        self.pending_version = version
        self.pending_nonce = response.nonce
        self.pending_deadline_us = now_us + RECORDS_TIMEOUT_US
        return actions + self._evaluate_pending()

    def _answer(self, resource_type: ResourceType, nonce: str, error: str = "") -> SendRequest:
        return SendRequest(DiscoveryRequest(resource_type, nonce, error, head=self.head, metrics=self.metrics))

    def _answer_version(self, nonce: str, error: str = "") -> SendRequest:
        return self._answer(ResourceType.VERSION, nonce, error[:MAX_REASON_CHARS])

    # --- decisions

    def _evaluate_pending(self) -> list[Action]:
        """Activate or reject the pending version once all of its records are stored."""
        version = self.pending_version
        if version is None:
            return []
        active = self.active_version
        if active is not None and version.id <= active.id:
            return self._on_old_version(version, active)
        if (reason := self.rejected.get((version.id, version.fingerprint_sum))) is not None:
            return self._reject(version, reason)
        if not self.replica.matches(version):
            self.state = FollowerState.RECEIVED
            return []  # its records may arrive after it; `tick` ends the wait
        if reasons := self.replica.validation_errors():
            return self._reject(version, summarize(reasons))
        self.pending_version = None
        return [
            *self._activate(version),
            self._answer_version(self.pending_nonce),
            LogMessage(f"version {version_name(version.id)} is active"),
            PersistVersion(version),
        ]

    def _on_old_version(self, version: ConfigVersion, active: ConfigVersion) -> list[Action]:
        """Acknowledge the active version; reject a lower version, or the same id with different records."""
        is_same_id = version.id == active.id
        if is_same_id and version.fingerprint_sum == active.fingerprint_sum:
            self.pending_version = None
            self.state = FollowerState.IN_FORCE
            self.reason = ""
            return [self._answer_version(self.pending_nonce)]
        difference = "has different records than" if is_same_id else "is lower than"
        return self._reject(
            version,
            f"version {version_name(version.id)} {difference} {version_name(active.id)}, which is active here; "
            "if the control service was restored from a backup, raise its epoch",
        )

    def _activate(self, version: ConfigVersion) -> list[Action]:
        self.replica.activate(version)
        self.active_version = version
        self.state = FollowerState.IN_FORCE
        self.reason = ""
        self.counters["taken_up"] += 1
        self.resynced.clear()
        return [ApplyTable(self.replica.table)]

    def _reject(self, version: ConfigVersion, reason: str) -> list[Action]:
        self.pending_version = None
        key = (version.id, version.fingerprint_sum)
        is_known = key in self.rejected
        while len(self.rejected) >= MAX_REJECTED:
            del self.rejected[next(iter(self.rejected))]
        self.rejected[key] = reason
        self.state = FollowerState.REJECTED
        self.reason = reason
        self.counters["turned_down"] += 1
        actions: list[Action] = [self._answer_version(self.pending_nonce, reason)]
        if not is_known:
            name = version_name(version.id)
            actions.append(LogMessage(f"version {name} is rejected: {reason}; {self.active_name} stays active"))
        return actions

    def _on_records_missing(self, version: ConfigVersion, now_us: int) -> list[Action]:
        """Request all records again, once per version; the second time, reject the version."""
        self.counters["truncated"] += 1
        difference = f"{version.record_count} records announced, {len(self.replica.stored)} stored"
        if version.id in self.resynced:
            return self._reject(
                version, f"its records do not match it even after a resync ({difference}): truncated or mixed up"
            )
        self.resynced.add(version.id)
        # The version is not answered, so that the service does not mistake lost messages for a fault of the version.
        self.replica.clear()
        self.reconnect.failures = 0  # happens once for each version, so the shortest backoff is enough
        name = version_name(version.id)
        actions: list[Action] = [
            LogMessage(f"version {name} is incomplete ({difference}): requesting all records again"),
            CloseStream("records do not match the version"),
            *self.on_stream_closed(now_us, "records do not match the version"),
        ]
        self.reconnect.retry_same_endpoint()
        return actions

    # --- persistence and status

    def on_persisted(self, version_id: VersionId, error: str) -> list[Action]:
        """Record that a version was written to disk, or why not; of consecutive errors only the first is logged."""
        if not error:
            self.persisted_id = max(self.persisted_id, version_id)
            self.persist_error = ""
            return []
        is_first = not self.persist_error
        self.persist_error = error
        name = version_name(version_id)
        return [LogMessage(f"version {name} is active but could not be written to disk: {error}")] if is_first else []

    @property
    def stored_records(self) -> Mapping[str, VersionedRecord]:
        """Records of the replica, by name."""
        return self.replica.stored

    @property
    def active_name(self) -> str:
        """Name of the active version, as in `1.17`; `none` if there is none."""
        return version_name(self.active_version.id) if self.active_version else "none"

    @property
    def table(self) -> RoutingTable:
        """The active routing table."""
        return self.replica.table

    def status(self, now_us: int) -> dict[str, object]:
        """Return the status for operators; its keys are described in docs/operate/stream.md."""
        return {
            "head": self.head,
            "running": self.active_name,
            "state": self.state.value,
            "reason": self.reason,
            "stale": self.is_stale,
            "connected": self.is_connected,
            "endpoint": self.reconnect.endpoint,
            "records": len(self.replica.stored),
            "kept": version_name(self.persisted_id),
            "keep_error": self.persist_error,
            "silent_s": round((now_us - self.last_response_us) / 1e6, 1),
            **self.counters,
        }
