"""Collects the load reports of engines and publishes them to the heads.

Each instance is assigned to one control member by rendezvous hashing over the live replicas. If two members request
the same report for a while, that only costs additional requests, so this work needs no fencing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger
from pydantic import ValidationError

from hophinge.coordination.ownership import rendezvous
from hophinge.fleet.controlplane.report_backoff import ReportBackoffs
from hophinge.fleet.controlplane.schemas import ReportBody
from hophinge.fleet.controlplane.soft_state import SoftState
from hophinge.fleet.placement.hints import EngineReport, EngineReports
from hophinge.fleet.program import run_periodically
from hophinge.fleet.registry.instance import Instance
from hophinge.fleet.transport.bounded_call import (
    CALL_ERRORS,
    ShortCall,
    bounded_pool,
    log_response_limit,
    send_short_call,
)
from hophinge.fleet.transport.bounded_stream import ResponseLimitError

COLLECTION_INTERVAL_S = 0.8  # pause between two collections
REQUEST_TIMEOUT_S = 0.4  # for a whole report
MAX_REPORT_BODY_BYTES = 64 << 10
KEEPALIVE_EXPIRY_S = 20.0
MAX_CONNECTIONS = 1_000  # one for each instance assigned to this member
REQUEST_ERRORS = (*CALL_ERRORS, ValidationError)


def parse_report(identity: str, body: bytes) -> EngineReport:
    """Parse an instance's report.

    Raises:
        ValidationError: The body is not a report, or a number in it is outside the plausible range.

    """
    report = ReportBody.model_validate_json(body)
    return EngineReport(identity, report.waiting, report.running, report.used_tokens, report.total_tokens)


class ReportCollector:
    """Collects the reports of the instances that are assigned to one control member."""

    def __init__(self, soft_state: SoftState, live_replicas: Callable[[], set[str]], me: str) -> None:
        self.soft_state = soft_state
        self.live_replicas = live_replicas
        self.me = me
        self.pool = bounded_pool(MAX_CONNECTIONS, KEEPALIVE_EXPIRY_S)
        self.backoffs = ReportBackoffs()

    def assigned_instances(self) -> list[Instance]:
        """Return the instances assigned to this member; a member outside the chain has none."""
        live_replicas = self.live_replicas()
        if self.me not in live_replicas:
            return []
        return [
            instance
            for instance in self.soft_state.registry.instances.values()
            if instance.stage and rendezvous(instance.identity, live_replicas) == self.me
        ]

    async def run(self) -> None:
        """Collect periodically, forever."""
        await run_periodically(COLLECTION_INTERVAL_S, self.collect_once)

    async def collect_once(self) -> None:
        """Request the report of each assigned instance and publish the reports received."""
        instances = self.assigned_instances()
        self.backoffs.retain({instance.identity for instance in instances})
        results = await asyncio.gather(*(self._request_report(instance) for instance in instances))
        reports = tuple(report for report in results if report is not None)
        if reports:
            self.soft_state.publish_hints(EngineReports(reports))

    async def _request_report(self, instance: Instance) -> EngineReport | None:
        loop = asyncio.get_running_loop()
        if not self.backoffs.may_ask(loop.time(), instance.identity):
            return None
        headers = [(b"hophinge-expected-instance", instance.identity.encode())]
        call = ShortCall(
            "GET", f"http://{instance.address}/v1/report", REQUEST_TIMEOUT_S, MAX_REPORT_BODY_BYTES, headers
        )
        try:
            response = await send_short_call(self.pool, call)
            report = parse_report(instance.identity, response.body) if response.status == 200 else None
        except ResponseLimitError as error:
            log_response_limit(instance.identity, "report", error)
            self.backoffs.record_response_limit(loop.time(), instance.identity)
            return None
        except REQUEST_ERRORS:
            return None
        except Exception:  # broad: no failure at one instance may lose the reports of the others
            logger.exception("report not collected instance={}", instance.identity)
            return None
        self.backoffs.record_report(instance.identity)
        return report
