"""The HTTP API of a control member: the operator's configuration and the instances' heartbeats."""

from __future__ import annotations

import json
from collections.abc import Mapping
from hashlib import blake2b
from urllib.parse import unquote

from pydantic import ValidationError

from hophinge.coordination.registers import Change, Outcome
from hophinge.fleet import log
from hophinge.fleet.configuration.document import Findings, check
from hophinge.fleet.configuration.routes import RECORD_KEY
from hophinge.fleet.controlplane.directory import Directory
from hophinge.fleet.controlplane.forms import Heartbeat
from hophinge.fleet.controlplane.host import ReplicaHost
from hophinge.fleet.controlplane.status import member_status
from hophinge.fleet.registry.instance import Instance, Model
from hophinge.fleet.transport.asgi import BodyTooLargeError, ClientGoneError, Receive, Scope, Send, answer, read_body

CONFIGURATION_PATH = "/v1/config"
INSTANCES_PATH = "/v1/instances/"
MEMBER_PATH = "/v1/member"  # for operators: how this member stands
MAX_BODY = 8 << 20  # above the operator's bound on a configuration
MAX_HEARTBEAT = 64 << 10
TIMEOUT_S = 2.5  # for a change to come to its end, within the operator's bound on an acknowledgement
READ_TIMEOUT_S = 2.0
JSON_TYPE = (b"content-type", b"application/json")
AGAIN = (b"retry-after", b"0.2")


def _body(**fields: object) -> bytes:
    return json.dumps(fields).encode()


class ControlApi:
    """An ASGI application."""

    def __init__(self, host: ReplicaHost, directory: Directory) -> None:
        self.host, self.directory = host, directory
        self.connection_ends: Mapping[str, int] = {}  # of the server in front, where something had been left open

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one request."""
        method, path = scope["method"], scope["path"]
        try:
            if path == CONFIGURATION_PATH and method == "PUT":
                await self._put(scope, receive, send)
            elif path == CONFIGURATION_PATH and method == "GET":
                await self._get(send)
            elif path == MEMBER_PATH and method == "GET":
                status = member_status(self.host.machine, self.directory, self.host.loop.time())
                status["connection-ends"] = dict(sorted(self.connection_ends.items()))
                await answer(send, 200, json.dumps(status).encode(), (JSON_TYPE,))
            elif path.startswith(INSTANCES_PATH) and method == "PUT":
                await self._beat(unquote(path[len(INSTANCES_PATH) :]), receive, send)
            elif path.startswith(INSTANCES_PATH) and method == "DELETE":
                held = await self.directory.leave(unquote(path[len(INSTANCES_PATH) :]))
                await self._acknowledge(send, held)
            else:
                await answer(send, 404, _body(error="there is no such resource"), (JSON_TYPE,))
        except ClientGoneError:
            log.note(f"cut: {method} {path} by client while arriving")
        except BodyTooLargeError:
            await answer(send, 413, _body(error="the body is too large"), (JSON_TYPE, (b"connection", b"close")))

    async def _acknowledge(self, send: Send, held: bool) -> None:
        if held:
            await answer(send, 200, b"{}", (JSON_TYPE,))
        else:
            await answer(send, 503, _body(error="too few control members hold this yet"), (JSON_TYPE, AGAIN))

    # --- instances -----------------------------------------------------------------------------------------------

    async def _beat(self, identity: str, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_HEARTBEAT)
        try:
            form = Heartbeat.model_validate_json(body)
        except ValidationError as error:
            findings = [f"{'.'.join(map(str, one['loc']))}: {one['msg']}" for one in error.errors()]
            await answer(send, 400, _body(error="the heartbeat is invalid", findings=findings), (JSON_TYPE,))
            return
        instance = Instance(
            identity,
            form.service,
            form.address,
            form.zone,
            form.version,
            form.slots,
            form.state,
            form.stage or "",
            tuple(Model(model.name, model.version) for model in form.models),
        )
        await self._acknowledge(send, await self.directory.beat(instance, form.sequence))

    # --- configuration -------------------------------------------------------------------------------------------

    async def _put(self, scope: Scope, receive: Receive, send: Send) -> None:
        body = await read_body(receive, MAX_BODY)
        base = _if_match(scope)
        checked = check(body)
        if checked.is_error():
            await _refuse(send, checked.error)
            return
        if base is None:
            await answer(send, 400, _body(error="If-Match is missing or is not a version"), (JSON_TYPE,))
            return
        digest = blake2b(str(base).encode() + b"\0" + body, digest_size=16).digest()
        change = Change(RECORD_KEY, base, checked.ok.version, digest, body)
        result = await self.host.request(RECORD_KEY, change, TIMEOUT_S)
        match result.outcome:
            case Outcome.APPLIED:
                await answer(send, 200, _body(version=change.version), (JSON_TYPE,))
            case Outcome.CONFLICT:
                text = f"version {result.version} is in place"
                await answer(send, 412, _body(error=text, version=result.version), (JSON_TYPE,))
            case Outcome.OUTDATED:
                text = f"version: is not above {result.version}, which is in place"
                await answer(send, 400, _body(error=text, version=result.version), (JSON_TYPE,))
            case _:
                text = "nobody knows yet whether the change was taken: send it again"
                await answer(send, 503, _body(error=text), (JSON_TYPE, AGAIN))

    async def _get(self, send: Send) -> None:
        result = await self.host.request(RECORD_KEY, None, READ_TIMEOUT_S)
        if result.outcome is not Outcome.VALUE:
            await answer(send, 503, _body(error="the newest version is not known here now"), (JSON_TYPE, AGAIN))
        elif not result.version:
            await answer(send, 404, _body(error="there is no configuration yet"), (JSON_TYPE,))
        else:
            await answer(send, 200, result.payload, (JSON_TYPE,))


async def _refuse(send: Send, findings: Findings) -> None:
    body = _body(error="the configuration is invalid", findings=[str(finding) for finding in findings])
    await answer(send, 400, body, (JSON_TYPE,))


def _if_match(scope: Scope) -> int | None:
    for name, value in scope["headers"]:
        if name == b"if-match":
            text = value.decode("latin-1").strip().strip('"')
            return int(text) if text.isdigit() else None
    return None
