"""Callers' requests at the member that was asked: passed to the head again and again until the tail replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from hophinge.coordination.messages import RequestOrigin, Reply, Submit
from hophinge.coordination.events import ClientResponse, Outputs, ClientRequest
from hophinge.coordination.registers import Outcome
from hophinge.coordination.view import Replica

if TYPE_CHECKING:
    from hophinge.coordination.replica import ReplicaStateMachine

RETRY_INTERVAL_S = 0.3  # after which a request without a reply is passed to the head again


@dataclass
class PendingRequest:
    """One request without a reply."""

    request: ClientRequest
    expires_at: float
    last_sent_at: float


class ClientRequests:
    """The requests that wait here."""

    def __init__(self, machine: ReplicaStateMachine) -> None:
        self.machine = machine
        self.pending: dict[int, PendingRequest] = {}

    def begin(self, now: float, request: ClientRequest, outputs: Outputs) -> None:
        """Begin with a caller's request."""
        if self.machine.is_isolated(now):
            outputs.responses.append(ClientResponse(request.request_id, None))
            return
        pending = PendingRequest(request, now + request.timeout_s, now)
        self.pending[request.request_id] = pending
        self._send(pending, outputs)

    def _send(self, pending: PendingRequest, outputs: Outputs) -> None:
        machine, requested = self.machine, pending.request
        head = machine.view.head() if machine.view is not None else None
        if head is None:
            return
        submit = Submit(RequestOrigin(machine.me, requested.request_id), requested.key, requested.change)
        if head.address != machine.me.address:
            outputs.messages.append((head.address, submit))
        else:
            machine.chain.handle_submit(submit, outputs)

    def retry_all(self) -> None:
        """Pass all on with the next tick: another head may be in place, and what went to the last one may be lost."""
        for pending in self.pending.values():
            pending.last_sent_at = float("-inf")

    def tick(self, now: float, outputs: Outputs) -> None:
        """Pass on again, or give up."""
        for request_id, pending in list(self.pending.items()):
            if now >= pending.expires_at:
                del self.pending[request_id]
                outputs.responses.append(ClientResponse(request_id, None))
            elif now - pending.last_sent_at >= RETRY_INTERVAL_S:
                pending.last_sent_at = now
                self._send(pending, outputs)

    def handle_reply(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Take the tail's reply."""
        assert isinstance(message, Reply)
        if self.pending.pop(message.request_id, None) is not None:
            outcome = Outcome(message.outcome)
            outputs.responses.append(ClientResponse(message.request_id, outcome, message.version, message.payload))
