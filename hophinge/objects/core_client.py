"""Calls of the object API on the exchange: each body on a backend is one request there, with class, units and plan."""

from __future__ import annotations

import asyncio
import math
import secrets
from collections.abc import Callable

from msgspec import structs

from hophinge.core import interface as api
from hophinge.core.exchange import Answer, AnswerStream, Exchange, Verdict, answer_callback
from hophinge.core.request_metrics import FAULTED, FULFILLED, THROTTLED
from hophinge.net.payload import MAX_SHORT_BODY, Payload, idempotency_header
from hophinge.objects.account_access import Volume
from hophinge.objects.config import ObjectConfig

# An absent object is an answer: its backend did the work.
OUTCOME_BY_VERDICT = {
    Verdict.SERVED: FULFILLED,
    Verdict.ABSENT: FULFILLED,
    Verdict.REFUSED: THROTTLED,
    Verdict.FAILED: FAULTED,
}
PREFETCH_VOLUME = "beforehand"  # that prefetches count on: no tenant's use, reserve or limit is touched
US_PER_MS = 1000


class RejectedError(Exception):
    """The core rejected a request; it is safe to retry it after a time."""

    def __init__(self, retry_after_us: int) -> None:
        super().__init__("refused")
        self.retry_after_us = retry_after_us


class CoreFailedError(Exception):
    """The core could not serve a request, which may have taken effect."""


class TimeBudget:
    """The time that a client gives its object request; None: each chunk has its class's deadline alone."""

    def __init__(self, now_us: int, remaining_ms: int | None) -> None:
        self.deadline_us = None if remaining_ms is None else now_us + remaining_ms * US_PER_MS

    def remaining_us(self, now_us: int) -> int | None:
        """Return what is left, in microseconds."""
        return None if self.deadline_us is None else max(0, self.deadline_us - now_us)


class CoreClient:
    """Requests of the object API to the exchange; those in flight are bounded over all of them."""

    def __init__(self, exchange: Exchange, config: ObjectConfig) -> None:
        self.exchange = exchange
        self.config = config
        settings = exchange.settings
        classes = {klass.name: index for index, klass in enumerate(settings.classes)}
        self.plans = {plan.name: index for index, plan in enumerate(settings.plans)}
        for name in (config.read_class, config.write_class):
            if name not in classes:
                raise ValueError(f"the object front's class {name!r} is not among the settings' classes")
        if settings.shards < 1:
            raise ValueError("the settings state no number of shards")
        self.read_class = classes[config.read_class]
        self.write_class = classes[config.write_class]
        self.prefetch_class = self._least_worth_read_class()
        self.prefetch_plan = min(
            self.plans.values(),
            key=lambda at: (settings.plans[at].price, settings.plans[at].reserve, settings.plans[at].weight),
        )
        self.shards = settings.shards
        self.in_flight = asyncio.Semaphore(config.pieces_in_flight)
        self.on_served: Callable[[str, float], None] = lambda volume, units: None  # called for each served request

    def _least_worth_read_class(self) -> int:
        """Return the class that prefetches use: of those that read, the one of least worth."""
        classes = self.exchange.settings.classes
        reads = [
            index
            for index, klass in enumerate(classes)
            if index == self.read_class
            or (
                index != self.write_class
                and klass.effect is api.Effect.SAFE
                and not klass.in_order
                and not klass.stream
            )
        ]
        return min(reads, key=lambda index: classes[index].value * classes[index].late_value)

    def units(self, size: int) -> float:
        """Return the units of a body; a backend's largest request is a full body."""
        max_units = self.exchange.settings.max_units
        return min(max_units, max(1.0, math.ceil(size / MAX_SHORT_BODY * max_units)))

    async def call(
        self,
        volume: Volume,
        key: str,
        shard: int,
        body: bytes | None,
        size: int,
        budget: TimeBudget,
        is_prefetch: bool = False,
    ) -> Answer:
        """Run one request on the core.

        A prefetch counts for no tenant: it comes as the request of least worth, as if its client had waited past its
        latency target already.

        Raises:
            RejectedError: The core rejected it.
            CoreFailedError: It was neither served nor absent.

        """
        async with self.in_flight:
            arrival = self._arrival(volume, key, shard, size, body is not None, budget, is_prefetch)
            klass = self.exchange.settings.classes[arrival.klass]
            ticket = None if is_prefetch else self.exchange.metrics.open_request(klass.name)
            answer_future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
            self.exchange.arrive(arrival, self._payload(arrival, klass, volume, body), answer_callback(answer_future))
            try:
                answer = await answer_future
            except asyncio.CancelledError:
                self.exchange.depart(arrival.request)
                if ticket is not None:
                    ticket.end(None)
                raise
        if ticket is not None:
            ticket.end(OUTCOME_BY_VERDICT[answer.verdict])
        if answer.stream is not None:
            body_read = await self._read_stream(answer.body, answer.stream)
            answer = structs.replace(answer, body=body_read, stream=None)
        if answer.verdict in (Verdict.SERVED, Verdict.ABSENT) and not is_prefetch:
            self.on_served(volume.id, arrival.units)
        if answer.verdict is Verdict.REFUSED:
            raise RejectedError(answer.retry_after_us)
        if answer.verdict is Verdict.FAILED:
            raise CoreFailedError
        return answer

    def _arrival(
        self, volume: Volume, key: str, shard: int, size: int, is_write: bool, budget: TimeBudget, is_prefetch: bool
    ) -> api.Arrival:
        """Return the event of a request; raises CoreFailedError where its client's time is over."""
        settings = self.exchange.settings
        klass = self.prefetch_class if is_prefetch else self.write_class if is_write else self.read_class
        remaining_us = budget.remaining_us(self.exchange.now_us())
        deadline_us = settings.classes[klass].deadline_us
        if remaining_us == 0:
            raise CoreFailedError
        if is_prefetch:
            target_us = settings.classes[klass].target_latency_us
            remaining_us = min(deadline_us, max(target_us + 1, deadline_us - target_us))
        return api.Arrival(
            request=secrets.token_hex(8),
            units=self.units(size),
            volume=PREFETCH_VOLUME if is_prefetch else volume.id,
            klass=klass,
            shard=shard,
            gateways=settings.gateways,
            key=key,
            time_left_us=deadline_us if remaining_us is None else min(deadline_us, remaining_us),
            write=is_write,
            plan=self.prefetch_plan if is_prefetch else self.plans[volume.plan],
            is_background=is_prefetch,
        )

    def _payload(self, arrival: api.Arrival, klass: api.RequestClass, volume: Volume, body: bytes | None) -> Payload:
        # A keyed class's repeats are dropped by this call's own id.
        is_keyed = klass.effect is api.Effect.KEYED
        return Payload(
            "GET" if body is None else "PUT",
            f"/{klass.name}/{volume.id}/{arrival.key}",
            arrival.request,
            body or b"",
            idempotency_header(arrival.request.encode()) if is_keyed else b"",
        )

    async def _read_stream(self, body: bytes, stream: AnswerStream) -> bytes:
        """Read the rest of an answer whose length its backend did not announce."""
        try:
            while len(body) <= MAX_SHORT_BODY and (chunk := await stream.read()):
                body += chunk
        except ConnectionError as error:
            raise CoreFailedError from error
        finally:
            stream.close()
        if len(body) > MAX_SHORT_BODY:
            raise CoreFailedError  # longer than any chunk
        return body
