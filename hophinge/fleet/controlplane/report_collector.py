"""Collects the load reports of engines and publishes them to the heads.

Each instance is assigned to one control member by rendezvous hashing over the live replicas. If two members request
the same report for a while, that only costs additional requests, so this work needs no fencing.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import httpcore
from loguru import logger
from pydantic import ValidationError

from hophinge.coordination.ownership import rendezvous
from hophinge.fleet.controlplane.schemas import ReportBody
from hophinge.fleet.controlplane.soft_state import SoftState
from hophinge.fleet.placement.hints import EngineReport, EngineReports
from hophinge.fleet.program import run_periodically
from hophinge.fleet.registry.instance import Instance

COLLECTION_INTERVAL_S = 0.8  # pause between two collections
REQUEST_TIMEOUT_S = 0.4
KEEPALIVE_EXPIRY_S = 20.0
MAX_CONNECTIONS = 1_000  # one for each instance assigned to this member
REQUEST_ERRORS = (
    httpcore.NetworkError,
    httpcore.TimeoutException,
    httpcore.ProtocolError,
    ValidationError,
)


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
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=MAX_CONNECTIONS,
            keepalive_expiry=KEEPALIVE_EXPIRY_S,
        )

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
        results = await asyncio.gather(*(self._request_report(instance) for instance in self.assigned_instances()))
        reports = tuple(report for report in results if report is not None)
        if reports:
            self.soft_state.publish_hints(EngineReports(reports))

    async def _request_report(self, instance: Instance) -> EngineReport | None:
        headers = [(b"hophinge-expected-instance", instance.identity.encode())]
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S)
        try:
            response = await self.pool.request(
                "GET", f"http://{instance.address}/v1/report", headers=headers, extensions={"timeout": timeout}
            )
            return parse_report(instance.identity, response.content) if response.status == 200 else None
        except REQUEST_ERRORS:
            return None
        except Exception:  # broad: no failure at one instance may lose the reports of the others
            logger.exception("report not collected instance={}", instance.identity)
            return None
