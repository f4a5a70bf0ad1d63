"""What staff may ask of the control service: push, status, history, rollback and resume, as JSON both ways."""

from __future__ import annotations

import asyncio
import hmac
import sqlite3
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, Any

import grpc
import msgspec

from hophinge.control import wire
from hophinge.control.publisher import name_of
from hophinge.control.shares import reserves_of
from hophinge.control.store import StoreError
from hophinge.control.tokens import bearer
from hophinge.routing import records
from hophinge.routing.record_reader import read

if TYPE_CHECKING:
    from hophinge.control.service import ControlService

MAX_HISTORY = 1000
NO_BYTES = b""


class Staff:
    """The calls of one control service."""

    def __init__(self, service: ControlService) -> None:
        self.service = service

    def answered(self, call: Callable[[str, dict[str, Any]], Any]) -> Callable[[bytes, Any], Awaitable[bytes]]:
        """Wrap a call as the wire has it: who asks, and what goes wrong, as a status."""

        async def answer(body: bytes, context: Any) -> bytes:
            token = bearer(context)
            who = next((name for one, name in self.service.staff.items() if hmac.compare_digest(token, one)), None)
            if who is None:
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "the token is not one of staff")
            try:
                made = call(who or "", msgspec.json.decode(body, type=dict[str, Any]))
                return msgspec.json.encode(await made if asyncio.iscoroutine(made) else made)
            except sqlite3.Error as error:
                self.service.log(f"the store fails: {error}")
                await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, f"nothing was stored: {error}")
                raise
            except (StoreError, ValueError, KeyError) as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(error))
                raise

        return answer

    async def push(self, who: str, call: dict[str, Any]) -> dict[str, Any]:
        """Check a document and store it as the next version; `expect`: only if that is the newest one."""
        source = str(call["text"]).encode()
        document = read(source)
        name = str(call.get("name", "the document"))
        if lines := document.lines(name):
            return {"mistakes": lines}
        bodies = {
            name: records.encode(record)
            for name, record in document.records.items()
            if not isinstance(record, (records.Rollout, *records.UPKEEP))
        }
        upkeep = [record for record in document.records.values() if isinstance(record, records.UPKEEP)]
        if mistakes := self.service.upkeep.refused(upkeep, document.places.get("maintenance/*"), name):
            return {"mistakes": mistakes}
        promised, capacity = reserves_of(bodies.values())
        await self.service.shares.check({**self.service.shares.reserved(), **promised}, capacity)
        newest = self.service.store.newest
        if (expect := call.get("expect")) and expect != (name_of(newest.order) if newest else "none"):
            raise StoreError(f"the newest version is {name_of(newest.order) if newest else 'none'}, not {expect}")
        rule = document.records.pop("rollout/*", records.Rollout())
        assert isinstance(rule, records.Rollout)
        same = newest is not None and bodies == {name: row[2] for name, row in newest.rows.items()}
        if newest is not None and same and not call.get("again"):
            if upkeep == self.service.upkeep.forms:
                return {"version": name_of(newest.order), "unchanged": True}
            self.service.upkeep.put(upkeep, who, str(call.get("note", "")))
            return {"version": name_of(newest.order)}  # heads run it already: only words on maintenance are new
        return {
            "version": name_of(self.service._push(bodies, rule, who, str(call.get("note", "")), source, upkeep=upkeep))
        }

    def roll_back(self, who: str, call: dict[str, Any]) -> dict[str, Any]:
        """Push the content of a former version as the next one."""
        order = wire.order_of(str(call["to"]))
        rule = (
            records.Rollout(patience_us=self.service.rollout.rule.patience_us)
            if call.get("at_once")
            else self.service.store.rule(order)
        )
        made = self.service._push(
            self.service.store.content(order), rule, who, f"rollback to {name_of(order)}", NO_BYTES, undoes=True
        )
        return {"version": name_of(made)}

    def resume(self, who: str, call: dict[str, Any]) -> dict[str, Any]:
        """Go on with a held rollout."""
        service = self.service
        if not service.rollout.resume(service.now_us()):
            raise StoreError("no rollout is held")
        target = name_of(service.rollout.course.target)
        service.store.set_course(service.rollout.course, who, "resume", target, service.now_ms())
        return {"version": target}

    def status(self, who: str, call: dict[str, Any]) -> dict[str, Any]:
        """Tell which head runs what, and where the rollout stands."""
        service = self.service
        course = service.rollout.course
        heads = [
            {
                "name": head.name,
                "connected": head.connected,
                "runs": name_of(head.runs),
                "wanted": name_of(service.rollout.aim(head.name)),
                "turned_down": head.reason and name_of(head.refused),
                "reason": head.reason,
                "taken": head.taken,
                "failed": head.failed,
            }
            for head in sorted(service.rollout.heads.values(), key=lambda one: one.name)
        ]
        return {
            "epoch": service.store.epoch,
            "size": service.shares.size,
            "stable": name_of(course.stable),
            "target": name_of(course.target),
            "stage": course.stage.value,
            "wave": course.wave,
            "last_wave": service.rollout.last_wave,
            "reason": course.reason,
            "heads": heads,
            "maintenance": service.upkeep.status(),
        }

    def history(self, who: str, call: dict[str, Any]) -> dict[str, Any]:
        """Tell the newest versions and what was done."""
        most = max(1, min(MAX_HISTORY, int(call.get("most", 20))))
        return {"versions": self.service.store.history(most), "audit": self.service.store.audit(most)}
