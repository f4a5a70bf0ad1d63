"""The object API over HTTP: S3's status codes on aiohttp's low-level server; each request gets one answer."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable
from typing import Any

from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.objects.account_access import AccountAccess
from hophinge.objects.config import ObjectConfig
from hophinge.objects.core_client import CoreFailedError, RejectedError
from hophinge.objects.http_fields import failure
from hophinge.objects.object_store import ObjectError, ObjectStore
from hophinge.objects.request_handlers import AUTHENTICATED, ObjectRequestHandlers

BUSY_RETRY_S = 1  # Retry-After where a head has as many object requests as it accepts


class ObjectFront(ObjectRequestHandlers):
    """The handler of every connection."""

    def __init__(
        self,
        store: ObjectStore,
        accounts: AccountAccess,
        config: ObjectConfig,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        super().__init__(store, accounts, config, counters)
        self.log = log
        self.on_connection_closed = accounts.dropped
        self.active_requests = 0
        self.evicted: set[asyncio.Task[Any]] = set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request; an error is an answer as well."""
        self.counters.add("object_requests")
        response: web.StreamResponse
        if self.active_requests >= self.config.requests:
            self.counters.add("object_too_many")
            response = failure(ObjectError(503, "SlowDown", "Too many requests at once."), BUSY_RETRY_S)
        else:
            self.active_requests += 1
            task = asyncio.current_task()
            assert task is not None
            try:
                response = await self._answered(request)
            except asyncio.CancelledError:
                if task not in self.evicted:
                    raise
                task.uncancel()
                response = failure(ObjectError(403, "AccessDenied", "The account is not served any more."))
                response.force_close()  # its body is read by nobody
            finally:
                self.active_requests -= 1
                self.evicted.discard(task)
                if AUTHENTICATED in request:
                    self._record_answer_start(request)
                    self.accounts.dropped(task)
            if AUTHENTICATED in request:
                self.accounts.count_request(request[AUTHENTICATED], response.status)
        self.counters.add(f"object_answers_{response.status // 100}xx")
        return response

    def evict_tenant(self, tenant: str) -> None:
        """Cancel the unanswered requests of a tenant; answers that have begun are completed."""
        for task in self.unanswered.pop(tenant, set()):
            self.evicted.add(task)
            task.cancel()

    async def _answered(self, request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await self._route(request)
        except ObjectError as error:
            return failure(error, error.retry_s)
        except RejectedError as refused:
            # The decision module rejected it: answered at once, with a time to retry.
            text = "The core refused the request; it is safe to repeat."
            return failure(ObjectError(503, "SlowDown", text), max(refused.retry_after_us, 1) / 1e6)
        except CoreFailedError:
            return failure(ObjectError(500, "InternalError", "The request failed; it may have taken effect."))
        except Exception:
            self.counters.add("object_faults")
            self.log(traceback.format_exc())
            return failure(ObjectError(500, "InternalError", "The request failed; it may have taken effect."))
