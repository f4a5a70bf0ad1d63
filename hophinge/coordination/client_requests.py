"""Callers' requests at the member that was asked: passed to the head again and again until the tail replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hophinge.coordination.messages import Origin, Reply, Submit
from hophinge.coordination.events import Answer, Outputs, Requested
from hophinge.coordination.registers import Outcome
from hophinge.coordination.view import Replica

if TYPE_CHECKING:
    from hophinge.coordination.replica import ReplicaMachine

RETRY_INTERVAL_S = 0.3  # after which a request without a reply is passed to the head again


@dataclass
class Pending:
    """One request without a reply."""

    requested: Requested
    until: float
    sent: float


class Requests:
    """The requests that wait here."""

    def __init__(self, machine: ReplicaMachine) -> None:
        self.machine = machine
        self.pending: dict[int, Pending] = {}

    def take(self, now: float, requested: Requested, outputs: Outputs) -> None:
        """Begin with a caller's request."""
        if self.machine.out_of_contact(now):
            outputs.answers.append(Answer(requested.request, None))
            return
        pending = Pending(requested, now + requested.patience, now)
        self.pending[requested.request] = pending
        self._send(pending, outputs)

    def _send(self, pending: Pending, outputs: Outputs) -> None:
        machine, requested = self.machine, pending.requested
        head = machine.view.head() if machine.view is not None else None
        if head is None:
            return
        submit = Submit(Origin(machine.me, requested.request), requested.key, requested.change)
        if head.address != machine.me.address:
            outputs.messages.append((head.address, submit))
        else:
            machine.chain.submit(submit, outputs)

    def send_anew(self) -> None:
        """Pass all on with the next tick: another head may be in place, and what went to the last one may be lost."""
        for pending in self.pending.values():
            pending.sent = float("-inf")

    def tick(self, now: float, outputs: Outputs) -> None:
        """Pass on again, or give up."""
        for request, pending in list(self.pending.items()):
            if now >= pending.until:
                del self.pending[request]
                outputs.answers.append(Answer(request, None))
            elif now - pending.sent >= RETRY_INTERVAL_S:
                pending.sent = now
                self._send(pending, outputs)

    def reply(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Take the tail's reply."""
        assert isinstance(message, Reply)
        if self.pending.pop(message.request, None) is not None:
            outcome = Outcome(message.outcome)
            outputs.answers.append(Answer(message.request, outcome, message.version, message.payload))
