"""Operations of the administration API: their paths, roles and schemas; requests, responses and problems."""

from __future__ import annotations

from collections.abc import Mapping

from msgspec import Struct

from hophinge.admin import schemas
from hophinge.tenancy.records import Role

DEFAULT_PAGE = 100  # entries
MAX_PAGE = 500
PROBLEM_TITLES = {
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
OPERATOR = "operator"
ADMINISTRATOR = Role.ADMINISTRATOR.value
READER = Role.READER.value
OPERATOR_ONLY = frozenset({OPERATOR})
TENANT_WRITERS = frozenset({OPERATOR, ADMINISTRATOR})
TENANT_READERS = frozenset({OPERATOR, ADMINISTRATOR, READER})


class ApiRequest(Struct, frozen=True):
    """A request, independent of the HTTP server; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str] = {}
    headers: Mapping[str, str] = {}
    body: bytes = b""
    peer: str = ""  # address of the client


class ApiResponse(Struct):
    """A response, independent of the HTTP server."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = {}


class Principal(Struct, frozen=True):
    """The authenticated caller."""

    name: str  # "operator", or the id of a key
    role: str
    tenant: str = ""  # of a key; empty for the operator


class ProblemError(Exception):
    """A request that is answered with a problem document (RFC 9457).

    Args:
        status: HTTP status.
        detail: What is wrong with this request.
        kind: Last part of the problem's type; empty: `status-` and the status.
        retry_after_us: Advice for the Retry-After header; 0: none.

    """

    def __init__(self, status: int, detail: str = "", kind: str = "", retry_after_us: int = 0) -> None:
        super().__init__(detail)
        self.status = status
        self.detail = detail
        self.kind = kind or f"status-{status}"
        self.retry_after_us = retry_after_us


class Operation(Struct, frozen=True):
    """One operation; its path has parameters in braces."""

    name: str
    method: str
    path: str
    roles: frozenset[str]
    answer: type | None
    status: int = 200
    body: type | None = None
    is_paged: bool = False
    requires_if_match: bool = False  # a change of a version that the caller names
    accepts_idempotency_key: bool = False


OPERATIONS = (
    Operation("list_tenants", "GET", "/v1/tenants", OPERATOR_ONLY, schemas.TenantPage, is_paged=True),
    Operation(
        "create_tenant",
        "PUT",
        "/v1/tenants/{tenant}",
        OPERATOR_ONLY,
        schemas.TenantShown,
        201,
        schemas.NewTenant,
        accepts_idempotency_key=True,
    ),
    Operation("show_tenant", "GET", "/v1/tenants/{tenant}", TENANT_READERS, schemas.TenantShown),
    Operation(
        "change_tenant",
        "PATCH",
        "/v1/tenants/{tenant}",
        OPERATOR_ONLY,
        schemas.TenantShown,
        200,
        schemas.TenantChange,
        requires_if_match=True,
        accepts_idempotency_key=True,
    ),
    Operation(
        "close_tenant",
        "DELETE",
        "/v1/tenants/{tenant}",
        OPERATOR_ONLY,
        schemas.TenantShown,
        202,
        requires_if_match=True,
        accepts_idempotency_key=True,
    ),
    Operation("list_volumes", "GET", "/v1/tenants/{tenant}/volumes", TENANT_READERS, schemas.VolumePage, is_paged=True),
    Operation(
        "put_volume",
        "PUT",
        "/v1/tenants/{tenant}/volumes/{bucket}",
        TENANT_WRITERS,
        schemas.VolumeShown,
        200,
        schemas.VolumeBody,
        accepts_idempotency_key=True,
    ),
    Operation("show_volume", "GET", "/v1/tenants/{tenant}/volumes/{bucket}", TENANT_READERS, schemas.VolumeShown),
    Operation(
        "remove_volume",
        "DELETE",
        "/v1/tenants/{tenant}/volumes/{bucket}",
        TENANT_WRITERS,
        None,
        204,
        requires_if_match=True,
        accepts_idempotency_key=True,
    ),
    Operation("list_keys", "GET", "/v1/tenants/{tenant}/keys", TENANT_READERS, schemas.KeyPage, is_paged=True),
    Operation(
        "create_key",
        "POST",
        "/v1/tenants/{tenant}/keys",
        TENANT_WRITERS,
        schemas.KeyMade,
        201,
        schemas.NewKey,
        accepts_idempotency_key=True,
    ),
    Operation("show_key", "GET", "/v1/tenants/{tenant}/keys/{key}", TENANT_READERS, schemas.KeyShown),
    Operation(
        "rotate_key",
        "POST",
        "/v1/tenants/{tenant}/keys/{key}/rotate",
        TENANT_WRITERS,
        schemas.KeyMade,
        201,
        schemas.Rotation,
        accepts_idempotency_key=True,
    ),
    Operation(
        "end_key", "DELETE", "/v1/tenants/{tenant}/keys/{key}", TENANT_WRITERS, None, 204, accepts_idempotency_key=True
    ),
    Operation("show_usage", "GET", "/v1/tenants/{tenant}/usage", TENANT_READERS, schemas.UsageShown),
    Operation("list_plans", "GET", "/v1/plans", TENANT_READERS, schemas.Plans),
    Operation("read_audit", "GET", "/v1/audit", OPERATOR_ONLY, schemas.AuditPage, is_paged=True),
    Operation("describe", "GET", "/v1/openapi.json", TENANT_READERS, None),
)
