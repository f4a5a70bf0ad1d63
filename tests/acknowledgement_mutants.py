"""One-line mutants of what an acknowledgement promises: configurations in force, departures that stay known."""

from __future__ import annotations

from tests.mutant import Mutant

STORED = "tests/test_fleet_configuration.py::"
ODD = "tests/test_fleet_odd_documents.py::"
API = "tests/test_fleet_control_api.py::"
STEPS = "tests/test_fleet_failing_steps.py::"
DEPARTURES = "tests/test_fleet_departures.py::"
REPORTS = "tests/test_fleet_reports.py::"
UPSTREAM = "tests/test_fleet_upstream.py::"
READER = "fleet/configuration/route_table_reader"

ACKNOWLEDGEMENT_MUTANTS = (
    Mutant(
        "values of a document are converted where they are judged",
        "fleet/configuration/document",
        "strict=True",
        "strict=False",
        STORED + "test_each_finding_names_its_path",
    ),
    Mutant(
        "fields of a document may be named with underscores",
        "fleet/configuration/document",
        "strict=True",
        "strict=True, populate_by_name=True",
        ODD + "test_heads_read_an_accepted_document_as_it_was_validated",
    ),
    Mutant(
        "a stored route that cannot be read gives its requests to another one",
        READER,
        "            routes.append(_unavailable_route(host, prefix))",
        "            continue",
        STORED + "test_an_unreadable_stored_route_is_unavailable_and_keeps_its_requests_from_shorter_prefixes",
    ),
    Mutant(
        "a stored text lets a stream run twice",
        READER,
        "        return value is True",
        "        return bool(value)",
        STORED + "test_a_stored_flag_given_as_text_does_not_make_a_stream_idempotent",
    ),
    Mutant(
        "a change that an older version took is refused when it is sent again",
        "fleet/controlplane/api",
        "self._committed_version(body) if validation.is_error() else validation.ok",
        "None if validation.is_error() else validation.ok",
        API + "test_a_change_accepted_by_an_older_release_is_accepted_when_retried",
    ),
    Mutant(
        "a record that could not be applied is forgotten",
        "fleet/dataplane/cluster_state",
        "            self.unapplied[record.key] = record",
        "            pass",
        STEPS + "test_a_record_that_is_not_applied_is_tried_again_and_keeps_no_other_from_being_applied",
    ),
    Mutant(
        "a member counts itself before its disk holds a departure",
        "fleet/registry/service",
        "is_stored_here=not self.is_durable",
        "is_stored_here=True",
        DEPARTURES + "test_a_member_does_not_count_itself_before_its_disk_holds_the_record",
    ),
    Mutant(
        "a departure is confirmed to its requester before the disk holds it",
        "fleet/registry/service",
        "        if self.is_durable:\n            step.to_store.append(StoreRequest(request.record,",
        "        if False:\n            step.to_store.append(StoreRequest(request.record,",
        DEPARTURES + "test_a_replicated_record_is_confirmed_once_it_is_stored",
    ),
    Mutant(
        "departures on the disk are not restored",
        "fleet/controlplane/soft_state",
        "        self.service.restore(self.loop.time(), storage.recovered)\n",
        "",
        DEPARTURES + "test_a_late_heartbeat_after_a_kill_of_all_does_not_restore_an_unregistered_instance",
    ),
    Mutant(
        "a disk that takes no writes holds a departure up",
        "fleet/controlplane/departure_host",
        "        if not self.commit.is_writable:\n            self.confirm(request)\n",
        "",
        DEPARTURES + "test_a_full_disk_delays_no_departure_and_stores_it_once_there_is_space",
    ),
    Mutant(
        "a request is sent twice on one connection",
        "fleet/dataplane/connections",
        "        if self in context.carriers:",
        "        if False:",
        UPSTREAM + "test_a_request_is_never_sent_twice_on_one_connection",
    ),
    Mutant(
        "a queue takes any number that is told",
        "fleet/placement/queue",
        "min(missing_count, MAX_PHANTOM_JOBS - len(self.queued))",
        "min(missing_count, 4 * MAX_PHANTOM_JOBS)",
        REPORTS + "test_a_reported_queue_length_is_bounded",
    ),
)
