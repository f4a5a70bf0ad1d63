"""Tracks which zones this head cannot reach: a zone is avoided after failed connections, until its first response.

Behind a partition all instances of a zone fail in the same way. If no control majority is left, no one marks these
instances as lost, and a head that learned of each instance separately would waste one connection after another on them.

Only silence counts as a failure here, since it costs a request its time: a crashed instance refuses connections at
once. After one failure the zone is avoided for a moment. If several of its instances failed without a response, at this
head or at others, the backoff is longer, and doubles with each failed probe. After the backoff one request probes the
zone, and the others avoid it until the probe has a result. The head's own zone is never treated as unreachable.

Without I/O; times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from hophinge.fleet.registry.instance import Instance

FIRST_BACKOFF_S = 0.5  # after a failure of one instance: the rest of the zone may be reachable
BASE_BACKOFF_S = 1.0  # after failures of several instances; doubles with each failed probe
MAX_BACKOFF_S = 8.0
EVIDENCE_S = 3.0  # for which failures of different instances count together
ANSWER_IMMUNITY_S = 0.6  # after a response from the zone, in which a failure concerns only its instance
PROBE_TIMEOUT_S = 0.5  # after which another request may probe the zone
REPORT_GAP_S = 2.5  # without a report from the zone, after which the next report shows that the partition has ended


@dataclass(slots=True)
class ZoneState:
    """The reachability of one zone, as this head knows it."""

    # By instance: the last failure here since the zone's last response.
    failed_at: dict[str, float] = field(default_factory=dict)
    suspected_at: dict[str, float] = field(default_factory=dict)  # by instance: the last failure at another head
    answered_at: float = float("-inf")
    reported_at: float = float("-inf")
    avoided_until: float = float("-inf")
    backoff_ends_at: float = float("-inf")  # when the zone may be probed
    is_suspected: bool = False  # an instance has failed since the last response
    failed_probes: int = 0


class ZoneReachability:
    """The zones that one head cannot reach."""

    def __init__(self, own_zone: str = "") -> None:
        self.own_zone = own_zone
        self.zones: dict[str, ZoneState] = {}

    def is_avoided(self, now: float, instance: Instance, may_probe: bool = True) -> bool:
        """Return whether a request avoids an instance because of its zone.

        `may_probe` is False for a request that has failed at another instance: it has no time left to probe a zone.
        """
        zone = self.zones.get(instance.zone)
        return zone is not None and (now < zone.avoided_until or (zone.is_suspected and not may_probe))

    def record_sent(self, now: float, instance: Instance) -> None:
        """Record a request to an instance; in a suspected zone it is the probe, and others wait for its result."""
        zone = self.zones.get(instance.zone)
        if zone is not None and zone.is_suspected:
            zone.avoided_until = max(zone.avoided_until, now + PROBE_TIMEOUT_S)

    def record_answer(self, now: float, instance: Instance) -> None:
        """Record any response of an instance: its zone is reachable."""
        zone = self._zone(instance)
        zone.failed_at.clear()
        zone.suspected_at.clear()
        zone.answered_at = now
        zone.avoided_until = float("-inf")
        zone.backoff_ends_at = float("-inf")
        zone.is_suspected = False
        zone.failed_probes = 0

    def record_failure(self, now: float, instance: Instance) -> None:
        """Record that an instance could not be reached."""
        zone = self._zone(instance)
        if instance.zone == self.own_zone or now - zone.answered_at <= ANSWER_IMMUNITY_S:
            return
        zone.failed_at[instance.identity] = now
        if now >= zone.backoff_ends_at and zone.is_suspected:
            zone.failed_probes += 1
        zone.is_suspected = True
        zone.backoff_ends_at = max(zone.backoff_ends_at, now + _backoff_s(now, zone))
        zone.avoided_until = max(zone.avoided_until, zone.backoff_ends_at)

    def record_suspicion(self, now: float, instance: Instance) -> None:
        """Record that an instance did not respond to another head, as evidence in addition to failures here.

        The other head may be in any zone, so its failures alone do not make a zone unreachable for this head.
        """
        zone = self._zone(instance)
        if now - zone.answered_at > ANSWER_IMMUNITY_S:
            zone.suspected_at[instance.identity] = now

    def record_reports(self, now: float, instances: Iterable[Instance]) -> None:
        """Record the load reports of engines; after a gap, the first one of a zone allows a probe at once."""
        for name in {instance.zone for instance in instances}:
            zone = self.zones.setdefault(name, ZoneState())
            if now - zone.reported_at > REPORT_GAP_S:
                zone.avoided_until = min(zone.avoided_until, now)
            zone.reported_at = now

    def _zone(self, instance: Instance) -> ZoneState:
        return self.zones.setdefault(instance.zone, ZoneState())


def _backoff_s(now: float, zone: ZoneState) -> float:
    """Return for how many seconds a zone is avoided after a failure."""
    failures = (*zone.failed_at.items(), *zone.suspected_at.items())
    has_several_failures = len({identity for identity, at in failures if now - at <= EVIDENCE_S}) > 1
    if not has_several_failures and not zone.failed_probes:
        return FIRST_BACKOFF_S
    return min(MAX_BACKOFF_S, BASE_BACKOFF_S * 2.0**zone.failed_probes)
