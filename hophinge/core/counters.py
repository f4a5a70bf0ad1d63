"""Counters of a head: requests, attempts, connections and faults."""

from __future__ import annotations

from hophinge.core.interface import Result

# All counters. Each is exported from the start with 0, and counting under another name raises KeyError, so that an
# alert never refers to a name that does not appear.
NAMES = (
    # the core: requests by answer, attempts by result
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
    # internal faults; each has a traceback in the log
    "module_faults",
    "client_faults",
    "object_faults",
    "admin_faults",
    # connections to clients, backends and discovery
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
    # the listener for operations
    "control_calls",
    "control_denied",
    # the object frontend and the administration API
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
    """Counts by name; ``text`` is printed on request and at exit."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(NAMES, 0)

    def add(self, name: str, number: int = 1) -> None:
        """Increase a counter; raises KeyError for a name that is not in `NAMES`."""
        self.counts[name] += number

    def text(self) -> str:
        """Return all counts, one `name value` per line, sorted by name."""
        return "".join(f"{name} {value}\n" for name, value in sorted(self.counts.items()))
