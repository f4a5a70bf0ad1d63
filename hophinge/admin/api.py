"""The administration API without I/O but for the ledger: authentication, authorization, routing and idempotency.

A change is decided inside the ledger's transaction, against everything that was committed before: of two concurrent
administrators the second one sees what the first one did. A tenant's keys reach that tenant only: what belongs to
another one looks exactly like what does not exist.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Collection
from typing import Any

import msgspec
from msgspec import UNSET

from hophinge.admin import schemas
from hophinge.admin.operation_handlers import OperationHandlers, ChangeResult
from hophinge.admin.operations import (
    MAX_PAGE,
    OPERATIONS,
    OPERATOR,
    DEFAULT_PAGE,
    PROBLEM_TITLES,
    ApiRequest,
    Operation,
    Principal,
    ProblemError,
    ApiResponse,
)
from hophinge.state.ledger import BusyError, FullError, Ledger
from hophinge.state.rows import AuditEntry, IdempotentResponse, LedgerChange
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import AccountError, Role, digest_of
from hophinge.tenancy.caller_rate_limits import CallerRateLimits

__all__ = [
    "MAX_PAGE",
    "MAX_BODY_BYTES",
    "OPERATIONS",
    "DEFAULT_PAGE",
    "PROBLEM_TITLES",
    "AdminApi",
    "ApiRequest",
    "Operation",
    "Principal",
    "ProblemError",
    "ApiResponse",
    "internal_error",
    "body_too_large",
]

MAX_BODY_BYTES = 16 * 1024
CALLS_PER_S = 20.0  # of one caller
FAILED_LOGINS_PER_S = 1.0  # of one address
FAILED_LOGINS_BURST = 20.0
RETRY_INTERVAL_S = 1  # after a busy ledger
IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
ACCOUNT_ERROR_STATUS = {"exists": 409, "missing": 404, "invalid": 400, "state": 409, "quota": 409, "stale": 412}


class AdminApi(OperationHandlers):
    """The API over one ledger.

    Args:
        ledger: Stores the changes.
        accounts: The same accounts in memory.
        plans: Returns the plans of the platform; empty: any name is allowed.
        operator: The operator's token.
        now_ms: Milliseconds since 1970.
        now_us: Monotonic clock.
        describe: Returns the API's description.
        reserves_shortfall: Returns why tenants' reserves cannot be guaranteed; empty if they can.
        calls_s: Calls a second that a caller may make, with a burst of two seconds.

    """

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        plans: Callable[[], Collection[str]],
        operator: str,
        now_ms: Callable[[], int],
        now_us: Callable[[], int],
        describe: Callable[[], bytes],
        reserves_shortfall: Callable[[dict[str, float]], str] = lambda reserves: "",
        calls_s: float = CALLS_PER_S,
    ) -> None:
        super().__init__(ledger, accounts, plans, describe, reserves_shortfall)
        self.operator_digest = digest_of(operator)
        self.now_ms = now_ms
        self.now_us = now_us
        self.call_rates = CallerRateLimits(calls_s, 2 * calls_s)
        self.failed_logins = CallerRateLimits(FAILED_LOGINS_PER_S, FAILED_LOGINS_BURST)
        self.routes = [(one, one.path.split("/")) for one in OPERATIONS]

    def answer(self, call: ApiRequest) -> ApiResponse:
        """Answer a request; an invalid one gets a problem document."""
        try:
            return self._answer(call)
        except ProblemError as problem:
            return _problem(problem)
        except AccountError as error:
            return _problem(ProblemError(ACCOUNT_ERROR_STATUS[error.kind], str(error), error.kind))
        except msgspec.MsgspecError as error:
            return _problem(ProblemError(400, f"the body is malformed: {error}"))
        except BusyError:
            return _problem(
                ProblemError(
                    503,
                    "another process changes the accounts; nothing was changed here",
                    retry_after_us=RETRY_INTERVAL_S * 1_000_000,
                )
            )
        except FullError:
            return _problem(ProblemError(507, "the accounts could not be stored; nothing was changed"))

    def _answer(self, call: ApiRequest) -> ApiResponse:
        caller = self.authenticate(call)
        if wait := self.call_rates.admit(caller.name, self.now_us()):
            raise ProblemError(429, "this caller's calls come too fast", retry_after_us=wait)
        operation, names = self._find(call)
        if operation is None:
            raise ProblemError(404, "no such call")
        tenant = names.get("tenant", "")
        if caller.tenant and tenant and tenant != caller.tenant:
            raise AccountError("missing", f"no tenant {tenant}")  # as for one that does not exist
        if caller.role not in operation.roles:
            raise ProblemError(403, f"a {caller.role}'s key may not {operation.name.replace('_', ' ')}")
        if len(call.body) > MAX_BODY_BYTES:
            raise ProblemError(413)
        body = msgspec.json.decode(call.body or b"{}", type=operation.body) if operation.body else None
        if operation.method == "GET":
            self.ledger.refresh()
            made: ApiResponse = getattr(self, f"_{operation.name}")(caller, call, names)
            return made
        return self._apply_change(operation, caller, call, names, body)

    def authenticate(self, call: ApiRequest) -> Principal:
        """Return the caller; after too many wrong tokens from an address, none from there is checked for a while."""
        now_us = self.now_us()
        if wait := self.failed_logins.wait_us(call.peer, now_us):
            raise ProblemError(429, "too many wrong tokens came from this address", retry_after_us=wait)
        scheme, _, token = call.headers.get("authorization", "").partition(" ")
        token = token.strip()
        if scheme.lower() == "bearer" and hmac.compare_digest(self.operator_digest, digest_of(token)):
            return Principal("operator", OPERATOR)
        key = self.accounts.authenticate(token, self.now_ms()) if scheme.lower() == "bearer" else None
        if key is None or key.role is Role.DATA:
            self.failed_logins.count(call.peer, now_us)
            raise ProblemError(401)
        return Principal(key.id, key.role.value, key.tenant)

    def _find(self, call: ApiRequest) -> tuple[Operation | None, dict[str, str]]:
        # Compared byte by byte: without decoding, case folding or normalization no name has a second spelling.
        parts = call.path.split("/")
        methods = set()
        for operation, template in self.routes:
            if len(template) == len(parts) and all(
                want == part or (want[:1] == "{" and part) for want, part in zip(template, parts, strict=True)
            ):
                if operation.method == call.method:
                    return operation, {
                        want[1:-1]: part for want, part in zip(template, parts, strict=True) if want[:1] == "{"
                    }
                methods.add(operation.method)
        if methods:
            raise ProblemError(405, f"allowed: {', '.join(sorted(methods))}")
        return None, {}

    def _apply_change(
        self, operation: Operation, caller: Principal, call: ApiRequest, names: dict[str, str], body: Any
    ) -> ApiResponse:
        key = call.headers.get("idempotency-key", "")
        if key and not IDEMPOTENCY_KEY.fullmatch(key):
            raise ProblemError(400, "Idempotency-Key has 1 to 128 visible ASCII characters")
        request_digest = hashlib.blake2b(f"{call.method} {call.path}\n".encode() + call.body, digest_size=32).digest()
        now_ms = self.now_ms()
        if key and (before := self.ledger.stored_response(caller.name, key, now_ms)) is not None:
            if before.request_digest != request_digest:
                raise ProblemError(422, "this Idempotency-Key came with another call")
            return ApiResponse(before.status, before.body, {"Idempotency-Replayed": "true"})
        results: list[ChangeResult] = []

        def decide() -> LedgerChange:
            handler = getattr(self, f"_{operation.name}")
            result: ChangeResult = handler(caller, call, names, body, now_ms)
            results.append(result)
            stored = None
            if key:
                retry_answer = result.answer if result.stored_answer is UNSET else result.stored_answer
                encoded = b"" if retry_answer is None else msgspec.json.encode(retry_answer)
                stored = IdempotentResponse(request_digest, operation.status, encoded)
            entry = AuditEntry(now_ms, caller.name, caller.role, operation.name, result.target, result.detail)
            return LedgerChange(result.rows, entry, stored)

        seq = self.ledger.change(decide, caller.name, key)
        answer = results[-1].answer
        headers = {"ETag": f'"{seq}"'} if answer is not None else {}
        return ApiResponse(operation.status, b"" if answer is None else msgspec.json.encode(answer), headers)


def _problem(problem: ProblemError) -> ApiResponse:
    body = schemas.Problem(
        f"urn:hophinge:problem:{problem.kind}", PROBLEM_TITLES[problem.status], problem.status, problem.detail
    )
    headers = {"Content-Type": "application/problem+json"}
    if problem.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    if problem.retry_after_us:
        headers["Retry-After"] = str(max(1, -(-problem.retry_after_us // 1_000_000)))
    return ApiResponse(problem.status, msgspec.json.encode(body), headers)


def internal_error() -> ApiResponse:
    """Return the response to a request that failed because of a fault in this program."""
    return _problem(ProblemError(500, "the log says why"))


def body_too_large() -> ApiResponse:
    """Return the response to a request whose body is too large."""
    return _problem(ProblemError(413))
