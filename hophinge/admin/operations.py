"""Which calls the administration API has, who may make each, and the shapes of a call and its answer."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from hophinge.admin import shapes
from hophinge.tenancy.records import Role

PAGE, LONGEST_PAGE = 100, 500
TITLES = {
    400: "The call is malformed",
    401: "A valid bearer token is needed",
    403: "This key may not do that",
    404: "There is no such thing",
    405: "The method is not allowed here",
    409: "The state does not allow it",
    412: "It was changed meanwhile",
    413: "The body is too large",
    422: "The key was used for another call",
    428: "If-Match is needed",
    429: "Too many calls",
    500: "The call failed",
    503: "Busy",
    507: "There is no room",
}
OPERATOR, ADMINISTRATOR, READER = "operator", Role.ADMINISTRATOR.value, Role.READER.value
STAFF = frozenset({OPERATOR})
OWNERS = frozenset({OPERATOR, ADMINISTRATOR})
ALL = frozenset({OPERATOR, ADMINISTRATOR, READER})


class Call(Struct, frozen=True):
    """A request, as any front may give it; names of headers are in lower case."""

    method: str
    path: str
    query: Mapping[str, str] = {}
    headers: Mapping[str, str] = {}
    body: bytes = b""
    peer: str = ""  # where it comes from


class Reply(Struct):
    """An answer."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class Principal(Struct, frozen=True):
    """Who calls."""

    name: str  # operator, or the key's id
    role: str
    tenant: str = ""  # of a key; an operator has none


class ProblemError(Exception):
    """A call that gets no good answer."""

    def __init__(self, status: int, detail: str = "", kind: str = "", wait_us: int = 0) -> None:
        super().__init__(detail)
        self.status, self.detail, self.kind, self.wait_us = status, detail, kind or f"status-{status}", wait_us


class Operation(Struct, frozen=True):
    """One call: its path has names in braces."""

    name: str
    method: str
    path: str
    roles: frozenset[str]
    answer: type | None
    status: int = 200
    body: type | None = None
    paged: bool = False
    guarded: bool = False  # wants If-Match
    repeatable: bool = False  # takes Idempotency-Key


OPERATIONS = (
    Operation("list_tenants", "GET", "/v1/tenants", STAFF, shapes.TenantPage, paged=True),
    Operation(
        "create_tenant",
        "PUT",
        "/v1/tenants/{tenant}",
        STAFF,
        shapes.TenantShown,
        201,
        shapes.NewTenant,
        repeatable=True,
    ),
    Operation("show_tenant", "GET", "/v1/tenants/{tenant}", ALL, shapes.TenantShown),
    Operation(
        "change_tenant",
        "PATCH",
        "/v1/tenants/{tenant}",
        STAFF,
        shapes.TenantShown,
        200,
        shapes.TenantChange,
        guarded=True,
        repeatable=True,
    ),
    Operation(
        "close_tenant", "DELETE", "/v1/tenants/{tenant}", STAFF, shapes.TenantShown, 202, guarded=True, repeatable=True
    ),
    Operation("list_volumes", "GET", "/v1/tenants/{tenant}/volumes", ALL, shapes.VolumePage, paged=True),
    Operation(
        "put_volume",
        "PUT",
        "/v1/tenants/{tenant}/volumes/{bucket}",
        OWNERS,
        shapes.VolumeShown,
        200,
        shapes.VolumeBody,
        repeatable=True,
    ),
    Operation("show_volume", "GET", "/v1/tenants/{tenant}/volumes/{bucket}", ALL, shapes.VolumeShown),
    Operation(
        "remove_volume",
        "DELETE",
        "/v1/tenants/{tenant}/volumes/{bucket}",
        OWNERS,
        None,
        204,
        guarded=True,
        repeatable=True,
    ),
    Operation("list_keys", "GET", "/v1/tenants/{tenant}/keys", ALL, shapes.KeyPage, paged=True),
    Operation(
        "create_key", "POST", "/v1/tenants/{tenant}/keys", OWNERS, shapes.KeyMade, 201, shapes.NewKey, repeatable=True
    ),
    Operation("show_key", "GET", "/v1/tenants/{tenant}/keys/{key}", ALL, shapes.KeyShown),
    Operation(
        "rotate_key",
        "POST",
        "/v1/tenants/{tenant}/keys/{key}/rotate",
        OWNERS,
        shapes.KeyMade,
        201,
        shapes.Rotation,
        repeatable=True,
    ),
    Operation("end_key", "DELETE", "/v1/tenants/{tenant}/keys/{key}", OWNERS, None, 204, repeatable=True),
    Operation("show_usage", "GET", "/v1/tenants/{tenant}/usage", ALL, shapes.UsageShown),
    Operation("list_plans", "GET", "/v1/plans", ALL, shapes.Plans),
    Operation("read_audit", "GET", "/v1/audit", STAFF, shapes.AuditPage, paged=True),
    Operation("describe", "GET", "/v1/openapi.json", ALL, None),
)
