"""The administration API: tenants, keys, volumes and plans, as JSON on a listener and behind a token of its own."""

from __future__ import annotations

import hmac
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from aiohttp import web

from hophinge.core.counters import Counters
from hophinge.net.listener import Listener
from hophinge.objects.tenants import Tenant, TenantError, Tenants, digest

MOST_BODY = 16 * 1024
CONNECTIONS, IDLE_S = 16, 30.0
LEAST_TOKEN = 16        # characters; a shorter one is a mistake
STATUS = {"exists": 409, "missing": 404, "invalid": 400}


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """The body that changes a tenant."""

    disabled: bool


class VolumeBody(msgspec.Struct, forbid_unknown_fields=True):
    """The body that makes a volume or changes its plan."""

    plan: str


def read_token(path: Path) -> str:
    """Read the API's token."""
    token = path.read_text().strip()
    if len(token) < LEAST_TOKEN:
        raise ValueError(f"the token in {path.name} has under {LEAST_TOKEN} characters")
    return token


class Admin(Listener):
    """One handler for every connection. A call's write to disk is short and rare, so it is done in place."""

    def __init__(self, tenants: Tenants, token: str, counters: Counters, log: Callable[[str], None]) -> None:
        super().__init__(counters, CONNECTIONS, IDLE_S, IDLE_S)
        self.tenants, self.token, self.log = tenants, digest(token), log

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        self.counters.add("admin_requests")
        scheme, _, token = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not hmac.compare_digest(self.token, digest(token.strip())):
            self.counters.add("admin_denied")
            response = _json(401, {"error": "a valid bearer token is needed"})
            response.headers["WWW-Authenticate"] = "Bearer"
        else:
            try:
                response = await self._route(request)
            except TenantError as error:
                response = _json(STATUS[error.kind], {"error": str(error)})
            except msgspec.MsgspecError as error:
                response = _json(400, {"error": f"the body is malformed: {error}"})
            except web.HTTPRequestEntityTooLarge:
                response = _json(413, {"error": "the body is too large"})
            except Exception:
                self.counters.add("admin_faults")
                self.log(traceback.format_exc())
                response = _json(500, {"error": "the call failed; the log says why"})
        if request.can_read_body and not request.content.is_eof():
            response.force_close()
        return response

    async def _route(self, request: web.BaseRequest) -> web.Response:
        tenants = self.tenants
        tenants.refresh()
        parts = request.raw_path.partition("?")[0].strip("/").split("/")
        match request.method, parts:
            case "GET", ["v1", "tenants"]:
                return _json(200, {"tenants": [_shown(one) for one in tenants.accounts.tenants.values()]})
            case "GET", ["v1", "plans"]:
                return _json(200, {"plans": sorted(tenants.plans)})
            case "PUT", ["v1", "tenants", name]:
                return _json(201, _shown(tenants.create(name)))
            case "GET", ["v1", "tenants", name]:
                return _json(200, _shown(tenants.get(name)))
            case "PATCH", ["v1", "tenants", name]:
                change = msgspec.json.decode(await _body(request), type=Change)
                return _json(200, _shown(tenants.set_disabled(name, change.disabled)))
            case "DELETE", ["v1", "tenants", name]:
                tenants.remove(name)
                return web.Response(status=204)
            case "POST", ["v1", "tenants", name, "keys"]:
                return _json(201, {"key": tenants.add_key(name)})
            case "POST", ["v1", "tenants", name, "keys", key, "rotate"]:
                return _json(201, {"key": tenants.rotate_key(name, key)})
            case "DELETE", ["v1", "tenants", name, "keys", key]:
                tenants.remove_key(name, key)
                return web.Response(status=204)
            case "PUT", ["v1", "tenants", name, "volumes", bucket]:
                body = msgspec.json.decode(await _body(request), type=VolumeBody)
                volume = tenants.put_volume(name, bucket, body.plan)
                return _json(200, {"bucket": bucket, "volume": volume.id, "plan": volume.plan})
        return _json(404, {"error": "no such call"})


async def _body(request: web.BaseRequest) -> bytes:
    if (request.content_length or 0) > MOST_BODY:
        raise web.HTTPRequestEntityTooLarge(MOST_BODY, request.content_length or 0)
    return await request.read()


def _shown(tenant: Tenant) -> dict[str, Any]:
    """Show a tenant; of its keys the ids, never the digests."""
    return {"name": tenant.name, "disabled": tenant.disabled, "keys": [key.id for key in tenant.keys],
            "volumes": {bucket: {"volume": one.id, "plan": one.plan} for bucket, one in tenant.volumes.items()}}


def _json(status: int, value: Any) -> web.Response:
    return web.Response(status=status, body=msgspec.json.encode(value), content_type="application/json")
