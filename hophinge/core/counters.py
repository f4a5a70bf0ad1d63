"""What a head has taken, sent and answered."""

from __future__ import annotations

from hophinge.core.interface import Result

# Every counter there is; one that is not named here cannot be counted, so alerts never wait for a name in vain.
NAMES = (
    # the core: requests by how they were answered, attempts by how they ended
    "requests_taken",
    "requests_served",
    "requests_absent",
    "requests_refused",
    "requests_failed",
    "requests_departed",
    "requests_overdue",
    "requests_cut_off",
    "requests_turned_away",
    "requests_waited",
    "reads_moved",
    "answers_streamed",
    "answers_broken_off",
    "bodies_streamed",
    "attempts_sent",
    "attempts_without_socket",
    "probes_sent",
    *(f"attempts_{result.value}" for result in Result),
    # faults that must not happen; each has a traceback in the log
    "module_faults",
    "client_faults",
    "object_faults",
    "admin_faults",
    # the wires
    "requests_malformed",
    "requests_unreadable",
    "requests_too_many",
    "connections_yielded",
    "connections_flooding",
    "accepts_failed",
    "brick_connects",
    "brick_connects_beside",
    "brick_connections_yielded",
    "bricks_answered_oddly",
    "discovery_answers",
    "discovery_errors",
    "discovery_entries_left_out",
    "reloads",
    "reloads_failed",
    # the second address
    "control_calls",
    "control_denied",
    # the object front and the administration API
    "object_requests",
    "object_answers_2xx",
    "object_answers_3xx",
    "object_answers_4xx",
    "object_answers_5xx",
    "object_truncated",
    "object_too_many",
    "admin_requests",
    "admin_denied",
    "tenants_bounded",
    "usage_not_stored",
    # remote write
    "remote_write_sent",
    "remote_write_retries",
    "remote_write_dropped",
    "remote_write_rejected",
)


class Counters:
    """Counts by name; ``text`` is what is printed on request and at exit."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(NAMES, 0)

    def add(self, name: str, number: int = 1) -> None:
        """Count something."""
        self.counts[name] += number

    def text(self) -> str:
        """All counts, one `name value` a line, by name."""
        return "".join(f"{name} {value}\n" for name, value in sorted(self.counts.items()))
