"""Places requests: on one instance for prefill and another for decode, or on one instance for both.

Normally, the prompt's last shared segment is the key. It is hashed to a group of prefill instances and a group of
decode instances, and the instance of each group that is estimated to finish first gets the request. A request is
charged for the tokens of its prompt that are not assumed to be cached at the instance.

Prefill at the decode instance itself needs no transfer of the KV cache. Both variants are scored against each other;
prefill at a decode instance is estimated with the service time per token learned for decode instances.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from hophinge.fleet.placement.admission import InstanceAdmission
from hophinge.fleet.placement.hint_exchange import MIN_TOKENS, HintExchange
from hophinge.fleet.placement.hints import FinishedPrefill, PlacementHint, PrefillDropped
from hophinge.fleet.placement.instance_table import InstanceTable
from hophinge.core.choice.gateway_state import MAX_IN_FLIGHT
from hophinge.fleet.placement.kv_transfers import KvTransfers
from hophinge.fleet.placement.node import MICROSECONDS, Node
from hophinge.fleet.placement.plan import Forecast, PlacementRejection, PlacementPlan, PlacementRequest
from hophinge.fleet.placement.policy import PlacementPolicy
from hophinge.fleet.placement.pool import Candidate, Reservation, InstancePool
from hophinge.fleet.placement.timing import DECODE, PLAIN, PREFILL
from hophinge.fleet.placement.prompt import Prompt
from hophinge.fleet.placement.reachability import ZoneReachability
from hophinge.fleet.placement.warmup import WarmupLimits
from hophinge.fleet.placement.scoring import PlacementChoice, PlacementScorer

MIN_RETRY_AFTER_S = 0.25  # returned to a rejected client
MAX_RETRY_JITTER_S = 1.0  # spreads the retries of rejected clients
JOB_ID_BITS = 40  # of a random job id, enough to make collisions in one queue very unlikely
FAILURE_SILENCE_S = 0.6  # since an instance's last response, before a failure ejects it


class Placement:
    """Places the requests of one head, and learns from their results."""

    def __init__(
        self,
        zone: str,
        on_instance_removed: Callable[[str], None],
        random: Random,
        on_update_pending: Callable[[], None] = lambda: None,
        policy: PlacementPolicy = PlacementPolicy(),  # noqa: B008 - frozen
        head_name: str = "",
    ) -> None:
        self.policy = policy
        self.zone = zone
        self.random = random
        self.reachability = ZoneReachability(zone)
        self.transfers = KvTransfers()
        self.admission = InstanceAdmission(WarmupLimits(head_name), self.reachability)
        self.instances = InstanceTable(policy, on_instance_removed, self.admission)
        self.exchange = HintExchange(self.instances, policy, on_update_pending)
        self.nodes = self.instances.nodes
        self.pending_requests: set[str] = set()  # waiting for a stage without an instance

    def place_plain(self, request: PlacementRequest, stage: str) -> PlacementPlan | None:
        """Place a request without a prompt; return None if no instance has capacity."""
        pool = self.instances.pool(request.service, stage)
        units = 1.0 if stage == PLAIN else float(MIN_TOKENS)

        def choose(is_late: bool) -> PlacementChoice | None:
            candidates = self._candidates(pool, request, request.attempt_id[0], lambda node: units, is_late)
            candidate = min(candidates, key=lambda candidate: candidate.done_at_us, default=None)
            return PlacementChoice(pool, candidate, False, candidate.done_at_us) if candidate is not None else None

        return self._place(request, choose, None)

    def place_generation(self, request: PlacementRequest, prompt: Prompt) -> PlacementPlan | PlacementRejection | None:
        """Place a request with a prompt, with its prefill at a prefill or a decode instance.

        Returns:
            The plan; a rejection if its wait is too long for its client's timeout; None if no instance has capacity.

        """
        prefill = self.instances.pool(request.service, PREFILL)
        decode = self.instances.pool(request.service, DECODE)
        scorer = PlacementScorer(prompt, self.zone, prefill, decode, self.policy, self._transfer_check(request.now))

        def units(node: Node) -> float:
            return float(max(MIN_TOKENS, prompt.tokens_in - node.cache.cached_tokens(prompt)))

        def choose(is_late: bool) -> PlacementChoice | None:
            decode_candidates = self._candidates(decode, request, prompt.key, units, is_late)
            decode_nodes = [candidate.node for candidate in decode_candidates]
            narrowed = self._without_failing_transfers(request, prefill, decode_nodes)
            return scorer.choose(self._candidates(prefill, narrowed, prompt.key, units, is_late), decode_candidates)

        choice = self._choose_in_time(request, choose)
        if choice is None:
            return None
        wait_us = choice.candidate.wait_us
        max_wait_s = (request.client_deadline - request.now) * self.policy.client_timeout_fraction
        is_hopeless = wait_us > 0 and choice.first_token_at_us > (request.now + max_wait_s) * MICROSECONDS
        if is_hopeless and self.policy.rejects_hopeless:
            return PlacementRejection(self._jittered_s(MIN_RETRY_AFTER_S, wait_us / MICROSECONDS))
        return self._reserve(choice, request, prompt)

    def retry_after_s(self, wait_s: float) -> float:
        """Return the seconds, with jitter, after which a client may retry if it can be served after `wait_s`."""
        return self._jittered_s(max(MIN_RETRY_AFTER_S, wait_s), wait_s)

    def _jittered_s(self, min_s: float, max_jitter_s: float) -> float:
        return min_s + self.random.random() * min(MAX_RETRY_JITTER_S, max_jitter_s)

    def place_decode(self, request: PlacementRequest, prompt: Prompt, prefill_identity: str) -> PlacementPlan | None:
        """Place the decode of a request with a finished prefill; return None if no instance has capacity."""
        decode = self.instances.pool(request.service, DECODE)
        scorer = PlacementScorer(prompt, self.zone, self.instances.pool(request.service, PREFILL), decode, self.policy)
        prefill_node = self.nodes.get(prefill_identity)
        narrowed = self._without_failing_transfers(request, decode, [prefill_node] if prefill_node is not None else [])

        def choose(is_late: bool) -> PlacementChoice | None:
            candidates = self._candidates(decode, narrowed, prompt.key, lambda node: float(MIN_TOKENS), is_late)
            if not candidates:
                candidates = self._candidates(decode, request, prompt.key, lambda node: float(MIN_TOKENS), is_late)
            return scorer.choose_decode(prefill_node, candidates)

        return self._place(request, choose, prompt)

    def _transfer_check(self, now: float) -> Callable[[Node, Node], bool]:
        """Return a function that tells whether a KV cache can be transferred between two instances, as known here."""

        def can_transfer(source: Node, target: Node) -> bool:
            return not self.transfers.is_avoided(now, source.instance.zone, target.instance.zone)

        return can_transfer

    def _without_failing_transfers(
        self, request: PlacementRequest, pool: InstancePool, partners: list[Node]
    ) -> PlacementRequest:
        """Exclude the instances of a pool that cannot exchange KV caches with any partner of the other stage."""
        can_transfer = self._transfer_check(request.now)
        failing = {
            identity
            for identity, node in pool.nodes.items()
            if partners and not any(can_transfer(partner, node) for partner in partners)
        }
        return replace(request, excluded=request.excluded | failing) if failing else request

    def _place(
        self, request: PlacementRequest, choose: Callable[[bool], PlacementChoice | None], prompt: Prompt | None
    ) -> PlacementPlan | None:
        choice = self._choose_in_time(request, choose)
        return self._reserve(choice, request, prompt) if choice is not None else None

    def _choose_in_time(
        self, request: PlacementRequest, choose: Callable[[bool], PlacementChoice | None]
    ) -> PlacementChoice | None:
        """Choose instances for the request; if it cannot meet its target, choose again as for a late request."""
        choice = choose(False)
        is_late = choice is not None and choice.first_token_at_us > request.target_at * MICROSECONDS
        return choose(True) if is_late else choice

    def _candidates(
        self, pool: InstancePool, request: PlacementRequest, key: str, units: Callable[[Node], float], is_late: bool
    ) -> list[Candidate]:
        """Return the candidates for a key: instances with capacity, or if there are none, those below MAX_IN_FLIGHT."""
        nodes = pool.key_group(
            request.now, key, request.excluded, lambda node: pool.has_capacity(node, units(node), request.target_s)
        )
        if not nodes:
            nodes = pool.key_group(request.now, key, request.excluded, lambda node: node.outstanding < MAX_IN_FLIGHT)
        return pool.candidates(request.now, nodes, units, is_late)

    def _reserve(self, choice: PlacementChoice, request: PlacementRequest, prompt: Prompt | None) -> PlacementPlan:
        """Reserve the chosen instance, and notify the other heads."""
        candidate = choice.candidate
        segments = prompt.segments if prompt is not None else ()
        memory_tokens = prompt.tokens_in + prompt.tokens_out if prompt is not None and not choice.is_prefill_only else 0
        candidate.node.tokens_since_report += memory_tokens
        job_id = self.random.getrandbits(JOB_ID_BITS)
        self.exchange.record_segments(candidate.node, segments, int(candidate.units), job_id)
        identity = candidate.node.instance.identity
        self.exchange.pending_hints.append(
            PlacementHint(identity, int(candidate.units), segments, candidate.priority, memory_tokens, job_id)
        )
        self.exchange.on_update_pending()
        forecast = Forecast(
            candidate.wait_us,
            candidate.service_us,
            choice.first_token_at_us - request.now * MICROSECONDS,
            candidate.is_late,
        )
        reservation = choice.pool.reserve(request.now, candidate, request.attempt_id, job_id)
        return PlacementPlan(reservation, choice.is_prefill_only, candidate.priority, forecast)

    # --- results of attempts ----------------------------------------------------------------------------------------

    def record_answer(self, now: float, reservation: Reservation, is_streaming: bool) -> None:
        """Record the response to an attempt; if it finished a prefill, notify the other heads."""
        if reservation.attempt_id not in reservation.node.in_flight.reservations:
            return
        reservation.record_answer(now, is_streaming)
        if reservation.pool.timing.is_sequential and reservation.units > MIN_TOKENS:
            reservation.pool.finish_job(now, reservation.node, reservation.job, now)
            reservation.node.cache.confirm(reservation.job.job_id)
            finished = FinishedPrefill(reservation.node.instance.identity, reservation.job.job_id, now)
            self.exchange.pending_finished.append(finished)
            self.exchange.on_update_pending()

    def release(self, now: float, reservation: Reservation) -> None:
        """Release the reservation of an attempt; if its prefill had not finished, notify the other heads."""
        is_unfinished = reservation.attempt_id in reservation.node.in_flight.reservations
        reservation.release(now)
        if is_unfinished and reservation.units > MIN_TOKENS and self.policy.shares_drops:
            reservation.node.drop_job(reservation.job.job_id)
            dropped = PrefillDropped(reservation.node.instance.identity, reservation.job.job_id)
            self.exchange.pending_drops.append(dropped)
            self.exchange.on_update_pending()

    def record_failure(self, node: Node, now: float, is_abandoned: bool = False) -> None:
        """Eject an instance after a failed attempt and notify the other heads, unless it responded recently.

        An attempt that this head abandoned shows that the instance is slow, not that it has ended: only this head
        avoids it for a moment, and no head treats it as cold.
        """
        if now - node.last_answer_at <= FAILURE_SILENCE_S:
            return
        node.record_failure(now)
        if not is_abandoned:
            self.admission.record_silence(now, node.instance)
            self.exchange.suspects.add(node.instance.identity)
            self.exchange.on_update_pending()

    def record_response_limit(self, now: float, identity: str) -> None:
        """Eject an instance whose response exceeded a limit, also if others of its responses are sound."""
        node = self.nodes.get(identity)
        if node is not None:
            node.record_response_limit(now)

    def record_silence(self, node: Node, now: float) -> None:
        """Record that an instance could not be reached, as evidence that its zone is unreachable."""
        self.reachability.record_failure(now, node.instance)

    def record_contact(self, node: Node, now: float) -> None:
        """Record any response of an instance, also an error: its zone is reachable."""
        self.reachability.record_answer(now, node.instance)

    def record_transfer(self, now: float, prefill_identity: str, decode_node: Node, has_succeeded: bool) -> None:
        """Record whether an instance could fetch a KV cache from the instance of the prefill."""
        prefill_node = self.nodes.get(prefill_identity)
        if prefill_node is None:
            return
        zones = prefill_node.instance.zone, decode_node.instance.zone
        if has_succeeded:
            self.transfers.record_transfer(*zones)
        else:
            self.transfers.record_refusal(now, *zones)
