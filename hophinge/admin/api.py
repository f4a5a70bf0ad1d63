"""The way of a call of the administration API: who makes it, whether it may be made, its answer. It knows no sockets.

A change is decided inside the ledger's transaction, against everything that was committed before, so of two
administrators at once the second one sees what the first one did. A tenant's own keys reach that tenant alone: what is
another's looks in every way like what is not there.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Collection
from typing import Any

import msgspec
from msgspec import UNSET

from hophinge.admin import shapes
from hophinge.admin.calls import Calls, Made
from hophinge.admin.operations import (
    LONGEST_PAGE,
    OPERATIONS,
    OPERATOR,
    PAGE,
    TITLES,
    Call,
    Operation,
    Principal,
    ProblemError,
    Reply,
)
from hophinge.state.ledger import BusyError, FullError, Ledger
from hophinge.state.rows import AuditEntry, IdempotentResponse, LedgerChange
from hophinge.tenancy.accounts import Accounts
from hophinge.tenancy.records import AccountError, Role, digest_of
from hophinge.tenancy.caller_rate_limits import CallerRateLimits

__all__ = [
    "LONGEST_PAGE",
    "MAX_BODY",
    "OPERATIONS",
    "PAGE",
    "TITLES",
    "Api",
    "Call",
    "Operation",
    "Principal",
    "ProblemError",
    "Reply",
    "fault",
    "too_large",
]

MAX_BODY = 16 * 1024
CALLS_S, CALLS_BURST = 20.0, 40.0  # of one caller
GUESSES_S, GUESSES_BURST = 1.0, 20.0  # wrong tokens from one place
RETRY_INTERVAL_S = 1  # after a busy ledger
REPEAT = re.compile(r"[\x21-\x7e]{1,128}", re.ASCII)
STATUS = {"exists": 409, "missing": 404, "invalid": 400, "state": 409, "quota": 409, "stale": 412}


class Api(Calls):
    """The API over one ledger; `plans` are those of the platform, none: any name is taken."""

    def __init__(
        self,
        ledger: Ledger,
        accounts: Accounts,
        plans: Callable[[], Collection[str]],
        operator: str,
        now_ms: Callable[[], int],
        now_us: Callable[[], int],
        describe: Callable[[], bytes],
        promises: Callable[[dict[str, float]], str] = lambda reserves: "",
        calls_s: float = CALLS_S,
    ) -> None:
        super().__init__(ledger, accounts, plans, describe, promises)
        self.operator, self.now_ms, self.now_us = digest_of(operator), now_ms, now_us
        self.callers = CallerRateLimits(calls_s, 2 * calls_s)
        self.guesses = CallerRateLimits(GUESSES_S, GUESSES_BURST)
        self.table = [(one, one.path.split("/")) for one in OPERATIONS]

    # --- the way of a call

    def answer(self, call: Call) -> Reply:
        """Answer a call; whatever is wrong with it is a problem document."""
        try:
            return self._answer(call)
        except ProblemError as problem:
            return _problem(problem)
        except AccountError as error:
            return _problem(ProblemError(STATUS[error.kind], str(error), error.kind))
        except msgspec.MsgspecError as error:
            return _problem(ProblemError(400, f"the body is malformed: {error}"))
        except BusyError:
            return _problem(
                ProblemError(
                    503,
                    "another process changes the accounts; nothing was changed here",
                    wait_us=RETRY_INTERVAL_S * 1_000_000,
                )
            )
        except FullError:
            return _problem(ProblemError(507, "the accounts could not be stored; nothing was changed"))

    def _answer(self, call: Call) -> Reply:
        caller = self.caller(call)
        if wait := self.callers.admit(caller.name, self.now_us()):
            raise ProblemError(429, "this caller's calls come too fast", wait_us=wait)
        operation, names = self._find(call)
        if operation is None:
            raise ProblemError(404, "no such call")
        tenant = names.get("tenant", "")
        if caller.tenant and tenant and tenant != caller.tenant:
            raise AccountError("missing", f"no tenant {tenant}")  # as where there is none
        if caller.role not in operation.roles:
            raise ProblemError(403, f"a {caller.role}'s key may not {operation.name.replace('_', ' ')}")
        if len(call.body) > MAX_BODY:
            raise ProblemError(413)
        body = msgspec.json.decode(call.body or b"{}", type=operation.body) if operation.body else None
        if operation.method == "GET":
            self.ledger.refresh()
            made: Reply = getattr(self, f"_{operation.name}")(caller, call, names)
            return made
        return self._changed(operation, caller, call, names, body)

    def caller(self, call: Call) -> Principal:
        """Tell who calls; too many wrong tokens from one place, and none from there is looked at for a while."""
        now_us = self.now_us()
        if wait := self.guesses.wait_us(call.peer, now_us):
            raise ProblemError(429, "too many wrong tokens came from this address", wait_us=wait)
        scheme, _, token = call.headers.get("authorization", "").partition(" ")
        token = token.strip()
        if scheme.lower() == "bearer" and hmac.compare_digest(self.operator, digest_of(token)):
            return Principal("operator", OPERATOR)
        key = self.accounts.authenticate(token, self.now_ms()) if scheme.lower() == "bearer" else None
        if key is None or key.role is Role.DATA:
            self.guesses.count(call.peer, now_us)
            raise ProblemError(401)
        return Principal(key.id, key.role.value, key.tenant)

    def _find(self, call: Call) -> tuple[Operation | None, dict[str, str]]:
        # Compared byte by byte: nothing is decoded, folded or cleaned up, so no name has a second spelling.
        parts = call.path.split("/")
        methods = set()
        for operation, template in self.table:
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

    def _changed(self, operation: Operation, caller: Principal, call: Call, names: dict[str, str], body: Any) -> Reply:
        repeat = call.headers.get("idempotency-key", "")
        if repeat and not REPEAT.fullmatch(repeat):
            raise ProblemError(400, "Idempotency-Key has 1 to 128 visible ASCII characters")
        asked = hashlib.blake2b(f"{call.method} {call.path}\n".encode() + call.body, digest_size=32).digest()
        now_ms = self.now_ms()
        if repeat and (before := self.ledger.stored_response(caller.name, repeat, now_ms)) is not None:
            if before.request_digest != asked:
                raise ProblemError(422, "this Idempotency-Key came with another call")
            return Reply(before.status, before.body, {"Idempotency-Replayed": "true"})
        made: list[Made] = []

        def decide() -> LedgerChange:
            one: Made = getattr(self, f"_{operation.name}")(caller, call, names, body, now_ms)
            made.append(one)
            kept = None
            if repeat:
                again = one.answer if one.kept is UNSET else one.kept
                kept = IdempotentResponse(asked, operation.status, b"" if again is None else msgspec.json.encode(again))
            entry = AuditEntry(now_ms, caller.name, caller.role, operation.name, one.target, one.detail)
            return LedgerChange(one.rows, entry, kept)

        seq = self.ledger.change(decide, caller.name, repeat)
        answer = made[-1].answer
        headers = {"ETag": f'"{seq}"'} if answer is not None else {}
        return Reply(operation.status, b"" if answer is None else msgspec.json.encode(answer), headers)


def _problem(problem: ProblemError) -> Reply:
    body = shapes.Problem(
        f"urn:hophinge:problem:{problem.kind}", TITLES[problem.status], problem.status, problem.detail
    )
    headers = {"Content-Type": "application/problem+json"}
    if problem.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    if problem.wait_us:
        headers["Retry-After"] = str(max(1, -(-problem.wait_us // 1_000_000)))
    return Reply(problem.status, msgspec.json.encode(body), headers)


def fault() -> Reply:
    """Make the answer for a fault of ours."""
    return _problem(ProblemError(500, "the log says why"))


def too_large() -> Reply:
    """Make the answer for a body that is not read."""
    return _problem(ProblemError(413))
