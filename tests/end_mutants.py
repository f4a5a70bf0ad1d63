"""One-line mutants of how what ends keeps what it owes."""

from __future__ import annotations

from tests.mutant import Mutant

CLAIMS = "tests/test_fleet_claims.py::"
ENDED = "tests/test_fleet_ended_instances.py::"
PROCESS = "tests/test_fleet_process_ends.py::"
STATE = "tests/test_fleet_connection_state.py::"
WIRE = "tests/test_fleet_server_connection.py::"
BUDGET = "tests/test_fleet_budget.py::"
STEPS = "tests/test_fleet_failing_steps.py::"

ENDS = (
    Mutant(
        "a connection in use is closed with its pool",
        "fleet/dataplane/connections",
        "if self.claims.retire():\n            await self.cut()",
        "self.claims.retire()\n        await self.cut()",
        ENDED + "test_an_answer_under_way_comes_whole_and_its_connection_closes_behind_it",
    ),
    Mutant(
        "a retired connection stays open behind its last answer",
        "fleet/dataplane/connections",
        "if last or not (super()",
        "if not (super()",
        ENDED + "test_an_answer_under_way_comes_whole_and_its_connection_closes_behind_it",
    ),
    Mutant(
        "a pool of an ended instance stays for ever",
        "fleet/dataplane/upstream",
        "            if pool.claims.release(claim):\n                self._drop(identity, pool)",
        "            pool.claims.release(claim)",
        ENDED + "test_a_request_whose_answer_has_not_begun_is_answered",
    ),
    Mutant(
        "what is retired is claimed anew",
        "fleet/forwarding/claims",
        "        if self.retired:\n            return None\n",
        "",
        CLAIMS + "test_it_closes_once_with_its_last_claim_and_gets_nothing_new_once_retired",
    ),
    Mutant(
        "it closes with its first claim",
        "fleet/forwarding/claims",
        "return held and self.retired and not self._until",
        "return held and self.retired",
        CLAIMS + "test_it_closes_once_with_its_last_claim_and_gets_nothing_new_once_retired",
    ),
    Mutant(
        "an answer that is out is taken for a client that left",
        "fleet/dataplane/client",
        "if work.done() or answered():",
        "if work.done():",
        CLAIMS + "test_work_whose_answer_has_gone_out_whole_comes_to_its_end",
    ),
    Mutant(
        "an ended instance gets new requests",
        "fleet/dataplane/upstream",
        "if identity in self.ended or (pool is not None and pool.claims.retired):",
        "if False:",
        ENDED + "test_an_instance_that_has_ended_gets_nothing_new_and_one_that_is_back_does",
    ),
    Mutant(
        "the end waits for work and not for bytes",
        "fleet/transport/server",
        "bool(self.server_state.connections or self.server_state.tasks)",
        "bool(self.server_state.tasks)",
        PROCESS + "test_an_answer_that_waits_in_the_buffers_goes_out_before_the_process_ends",
    ),
    Mutant(
        "the end cancels the tidying behind an answer",
        "fleet/transport/server",
        "bool(self.server_state.connections or self.server_state.tasks)",
        "bool(self.server_state.connections)",
        PROCESS + "test_the_tidying_behind_an_answer_comes_to_its_end_with_the_process",
    ),
    Mutant(
        "who waits is not told at the end",
        "fleet/transport/server",
        "            give_up()\n",
        "",
        PROCESS + "test_whoever_waits_for_others_is_told_before_the_process_ends",
    ),
    Mutant(
        "one failing step ends the program",
        "fleet/program",
        "if failures >= most_failures:",
        "if failures:",
        STEPS + "test_a_periodic_step_that_fails_now_and_then_does_not_end_the_program",
    ),
    Mutant(
        "rests that have begun stay short",
        "fleet/transport/connection_state",
        "self.rest_s = max(self.rest_s, bounds.rest_s)",
        "pass",
        PROCESS + "test_a_longer_time_of_rest_holds_for_connections_that_rest_already",
    ),
    Mutant(
        "a refusal is written into an answer",
        "fleet/transport/connection_state",
        "if self.owed or self.ending is None or self.over:",
        "if self.ending is None or self.over:",
        STATE + "test_each_claim_is_answered_in_its_order_and_the_connection_closes_behind_the_last",
    ),
    Mutant(
        "what is read behind the end is served",
        "fleet/transport/connection_state",
        "served = self.ending is None",
        "served = True",
        WIRE + "test_a_request_read_behind_the_process_s_end_is_refused_in_its_turn",
    ),
    Mutant(
        "a close that an answer asks for waits for nobody",
        "fleet/transport/server_connection",
        "            self._do(self.state.close_asked())",
        "            self._close()",
        WIRE + "test_a_request_read_behind_the_process_s_end_is_refused_in_its_turn",
    ),
    Mutant(
        "only the newest request learns that its client left",
        "fleet/transport/server_connection",
        "        for cycle in self.cycles:\n            self._disconnect(cycle)",
        "        self._disconnect(self.cycle)",
        WIRE + "test_a_client_that_leaves_is_seen_by_what_is_under_way_and_nothing_that_waits_is_begun",
    ),
    Mutant(
        "a header is bounded once it is whole",
        "fleet/transport/connection_state",
        "self.header_bytes > self.bounds.header_bytes",
        "False",
        WIRE + "test_a_header_without_an_end_is_refused_at_its_bound",
    ),
    Mutant(
        "a body behind a wish for an upgrade is lost",
        "fleet/transport/server_connection",
        " + data[upgrade.args[0] :])",
        ")",
        WIRE + "test_however_requests_are_cut_into_pieces_each_has_its_answer_and_what_is_none_a_400_behind_them",
    ),
    Mutant(
        "half a body is waited for",
        "fleet/transport/connection_state",
        "if not self.taking or self.owed > (self.reading is Reading.BODY):",
        "if not self.taking or self.owed:",
        WIRE + "test_a_body_that_does_not_come_is_given_up_with_408",
    ),
    Mutant(
        "a head that knows nobody takes the whole slack",
        "fleet/forwarding/budget",
        "self.slack / heads if heads else 0.0",
        "self.slack / max(1, heads)",
        BUDGET + "test_heads_that_start_anew_take_no_part_that_others_may_have_taken",
    ),
    Mutant(
        "a life forgets what the one before it spent",
        "fleet/forwarding/budget",
        "            slack *= STARTING_PART\n",
        "            pass\n",
        BUDGET + "test_heads_that_start_anew_take_no_part_that_others_may_have_taken",
    ),
    Mutant(
        "instances that refuse are asked again at once",
        "fleet/forwarding/life",
        "min(FIRST_PAUSE_S * 2**self.rounds, LONGEST_PAUSE_S)",
        "0.0",
        "tests/test_fleet_life.py::test_instances_that_all_refused_are_asked_again_behind_a_pause_that_grows",
    ),
    Mutant(
        "bodies have no bound together",
        "fleet/transport/asgi",
        "            raise NoRoomError\n",
        "            pass\n",
        WIRE + "test_a_body_is_held_within_the_room_for_all_of_them",
    ),
    Mutant(
        "a job of no size teaches",
        "fleet/placement/timing",
        "if units <= 0 or units <",
        "if units <",
        "tests/test_fleet_life_histories.py::test_no_step_of_a_request_fails_whatever_becomes_of_its_instances",
    ),
    Mutant(
        "a head that failed counts as shutting down",
        "fleet/analysis/aborts",
        "return is_draining and not has_failed",
        "return is_draining",
        "tests/test_fleet_aborts.py::test_a_head_may_cut_at_the_end_of_its_grace_and_not_where_its_own_work_failed",
    ),
    Mutant(
        "an answer that has begun is cut by a refusal",
        "fleet/transport/connection_state",
        "self.owed > 0 and not begun",
        "self.owed > 0",
        "tests/test_fleet_begun_answers.py::test_an_answer_that_has_begun_goes_out_whole_whatever_ends_its_request",
    ),
)
