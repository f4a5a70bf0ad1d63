"""The HTTP API of a control member: the operator's configuration, instance heartbeats and the member's status."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Mapping
from hashlib import blake2b

from loguru import logger
from pydantic import ValidationError

from hophinge.coordination.registers import Change, Outcome
from hophinge.fleet.configuration.document_limits import DEFAULT_DOCUMENT_LIMITS, DocumentLimits
from hophinge.fleet.configuration.findings import Findings
from hophinge.fleet.configuration.judged_documents import ValidationCache, ValidationResult
from hophinge.fleet.configuration.record import RECORD_KEY, compress_document, read_configuration_record
from hophinge.fleet.controlplane.replica_host import ReplicaHost
from hophinge.fleet.controlplane.schemas import HeartbeatBody
from hophinge.fleet.controlplane.soft_state import SoftState
from hophinge.fleet.controlplane.status import member_status
from hophinge.fleet.numerals import parse_decimal
from hophinge.fleet.registry.instance import Instance, Model
from hophinge.fleet.transport.asgi import (
    CLOSE,
    BodyTooLargeError,
    ClientGoneError,
    Receive,
    Scope,
    Send,
    answer,
    counted,
    read_body,
)
from hophinge.fleet.transport.client_memory import BodyMemoryFullError, MemoryReservation
from hophinge.fleet.transport.connection_context import memory_of

CONFIGURATION_PATH = "/v1/config"
INSTANCES_PATH = "/v1/instances/"
MEMBER_PATH = "/v1/member"  # for operators: this member's status
MAX_HEARTBEAT_BYTES = 64 << 10
MAX_IDENTITY_CHARACTERS = 256  # of an instance
CHANGE_TIMEOUT_S = 2.5  # for a change to complete, shorter than the operator waits for an acknowledgement
CURRENT_VERSION_TIMEOUT_S = 0.3  # for reading the version that the text of an error names
READ_TIMEOUT_S = 2.0
MILLISECONDS = 1_000
JSON_TYPE = (b"content-type", b"application/json")
RETRY_AFTER = (b"retry-after", b"0.2")
MAX_LOGGED_PATH = 200  # characters

# Serves a request. Arguments: method, remainder of the path after the registered prefix, receive, send.
PathHandler = Callable[[str, str, Receive, Send], Awaitable[None]]


def _body(**fields: object) -> bytes:
    return json.dumps(fields).encode()


class ControlApi:
    """The ASGI application of the control API."""

    def __init__(
        self, host: ReplicaHost, soft_state: SoftState, document_limits: DocumentLimits = DEFAULT_DOCUMENT_LIMITS
    ) -> None:
        self.host = host
        self.document_limits = document_limits
        self.soft_state = soft_state
        self.validation_cache = ValidationCache()
        self.handlers: dict[str, PathHandler] = {}  # by path prefix
        self.path_handlers: dict[str, PathHandler] = {}  # by complete path
        self.status_sections: dict[str, Callable[[], object]] = {}  # additional keys of the status object
        self.connection_outcomes: Mapping[str, int] = {}  # counts by close reason; orderly closes are left out

    def register(self, prefix: str, handler: PathHandler) -> None:
        """Register a handler for all paths that begin with a prefix."""
        self.handlers[prefix] = handler

    def register_path(self, path: str, handler: PathHandler) -> None:
        """Register a handler for one path."""
        self.path_handlers[path] = handler

    def _handler(self, path: str) -> tuple[str, PathHandler] | None:
        """Return the remainder of a path after the registered prefix, with its handler; None if there is none."""
        if path in self.path_handlers:
            return "", self.path_handlers[path]
        for prefix, handler in self.handlers.items():
            if path.startswith(prefix) and len(path) > len(prefix):
                return path[len(prefix) :], handler
        return None

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        method, path = scope["method"], scope["path"]
        try:
            with MemoryReservation(memory_of(scope)) as reservation:
                await self._serve(scope, counted(receive, reservation), send)
        except ClientGoneError:
            logger.info("upload aborted side=client phase=arriving method={} path={}", method, path[:MAX_LOGGED_PATH])
        except BodyTooLargeError:
            await answer(send, 413, _body(error="the body is too large"), (JSON_TYPE, CLOSE))
        except BodyMemoryFullError:
            text = "too much memory is used by other callers; retry"
            await answer(send, 503, _body(error=text), (JSON_TYPE, RETRY_AFTER, CLOSE))

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        method, path = scope["method"], scope["path"]
        if path == CONFIGURATION_PATH and method == "PUT":
            await self._put_configuration(scope, receive, send)
        elif path == CONFIGURATION_PATH and method == "GET":
            await self._get_configuration(send)
        elif path == MEMBER_PATH and method == "GET":
            await self._get_status(send)
        elif path.startswith(INSTANCES_PATH) and len(path) - len(INSTANCES_PATH) > MAX_IDENTITY_CHARACTERS:
            await answer(send, 400, _body(error="the instance's identity is too long"), (JSON_TYPE, CLOSE))
        elif path.startswith(INSTANCES_PATH) and method == "PUT":
            await self._put_heartbeat(path[len(INSTANCES_PATH) :], receive, send)
        elif path.startswith(INSTANCES_PATH) and method == "DELETE":
            is_acknowledged = await self.soft_state.unregister(path[len(INSTANCES_PATH) :])
            await self._acknowledge(send, is_acknowledged)
        elif (found := self._handler(path)) is not None:
            name, handler = found
            await handler(method, name, receive, send)
        else:
            await answer(send, 404, _body(error="the resource does not exist"), (JSON_TYPE,))

    async def _get_status(self, send: Send) -> None:
        status = member_status(self.host.machine, self.soft_state, self.host.loop.time())
        status["connection-ends"] = dict(sorted(self.connection_outcomes.items()))
        status |= {name: section() for name, section in self.status_sections.items()}
        await answer(send, 200, json.dumps(status).encode(), (JSON_TYPE,))

    async def _acknowledge(self, send: Send, is_acknowledged: bool) -> None:
        if is_acknowledged:
            await answer(send, 200, b"{}", (JSON_TYPE,))
        else:
            await answer(
                send, 503, _body(error="not yet replicated to enough control members; retry"), (JSON_TYPE, RETRY_AFTER)
            )

    # --- instances -----------------------------------------------------------------------------------------------

    async def _put_heartbeat(self, identity: str, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_HEARTBEAT_BYTES)
        try:
            heartbeat = HeartbeatBody.model_validate_json(body)
        except ValidationError as error:
            findings = [f"{'.'.join(map(str, detail['loc']))}: {detail['msg']}" for detail in error.errors()]
            await answer(send, 400, _body(error="the heartbeat is invalid", findings=findings), (JSON_TYPE,))
            return
        instance = Instance(
            identity,
            heartbeat.service,
            heartbeat.address,
            heartbeat.zone,
            heartbeat.version,
            heartbeat.slots,
            heartbeat.state,
            heartbeat.stage or "",
            tuple(Model(model.name, model.version) for model in heartbeat.models),
        )
        acknowledged = await self.soft_state.heartbeat(instance, heartbeat.sequence, heartbeat.cold_remaining_s)
        await self._acknowledge(send, acknowledged)

    # --- configuration -------------------------------------------------------------------------------------------

    async def _put_configuration(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, self.document_limits.max_bytes)
        if self.document_limits.has_too_many_values(body) and self._committed_version(body) is None:
            raise BodyTooLargeError
        base_version = _if_match(scope)
        validation = self._validate(body)
        version = self._committed_version(body) if validation.is_error() else validation.ok
        if version is None:
            await _reject_configuration(send, validation.error)
            return
        if base_version is None:
            await answer(send, 400, _body(error="If-Match is missing or is not a version"), (JSON_TYPE,))
            return
        digest = blake2b(str(base_version).encode() + b"\0" + body, digest_size=16).digest()
        change = Change(RECORD_KEY, base_version, version, digest, body)
        result = await self.host.request(RECORD_KEY, change, CHANGE_TIMEOUT_S)
        match result.outcome:
            case Outcome.APPLIED:
                await answer(send, 200, _body(version=change.version), (JSON_TYPE,))
            case Outcome.CONFLICT:
                text = f"the current version is {result.version}"
                await answer(send, 412, _body(error=text, version=result.version), (JSON_TYPE,))
            case Outcome.OUTDATED:
                text = f"version: is not above the current version {result.version}"
                await answer(send, 400, _body(error=text, version=result.version), (JSON_TYPE,))
            case _:
                await self._answer_unknown_change(send, base_version)

    async def _answer_unknown_change(self, send: Send, base_version: int) -> None:
        """Answer a change without an outcome; name the current version where the one it builds on is still to come."""
        current = await self.host.request(RECORD_KEY, None, CURRENT_VERSION_TIMEOUT_S)
        if current.outcome is Outcome.VALUE and current.version < base_version:
            text = f"If-Match: version {base_version} is still to come, the current version is {current.version}; retry"
            body = _body(error=text, version=current.version)
        else:
            body = _body(error="it is unknown whether the change was applied; retry it")
        await answer(send, 503, body, (JSON_TYPE, RETRY_AFTER))

    def _validate(self, body: bytes) -> ValidationResult:
        """Validate a document, and log for how long that blocked the event loop."""
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        validation = self.validation_cache.validate(body)
        took_ms = (loop.time() - started_at) * MILLISECONDS
        logger.info("configuration validated valid={} bytes={} took_ms={:.1f}", validation.is_ok(), len(body), took_ms)
        return validation

    def _committed_version(self, body: bytes) -> int | None:
        """Return the version of a document that is the committed configuration; None for any other document.

        An older release may have accepted it under other rules, and sending it again must not be rejected.
        """
        record = self.soft_state.dissemination.store.get(RECORD_KEY)
        if record is None or record.value != compress_document(body):
            return None
        return read_configuration_record(record).table.version

    async def _get_configuration(self, send: Send) -> None:
        result = await self.host.request(RECORD_KEY, None, READ_TIMEOUT_S)
        if result.outcome is not Outcome.VALUE:
            await answer(
                send,
                503,
                _body(error="this member cannot determine the current version now; retry"),
                (JSON_TYPE, RETRY_AFTER),
            )
        elif not result.version:
            await answer(send, 404, _body(error="no configuration has been set yet"), (JSON_TYPE,))
        else:
            await answer(send, 200, result.payload, (JSON_TYPE,))


async def _reject_configuration(send: Send, findings: Findings) -> None:
    body = _body(error="the configuration is invalid", findings=[str(finding) for finding in findings])
    await answer(send, 400, body, (JSON_TYPE,))


def _if_match(scope: Scope) -> int | None:
    """Return the version in the If-Match header; None if the header is missing or is not a version."""
    for name, value in scope["headers"]:
        if name == b"if-match":
            return parse_decimal(value.decode("latin-1").strip().strip('"'))
    return None
