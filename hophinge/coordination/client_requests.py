"""Client requests at the replica that received them: sent to the head of the chain until the tail replies."""

from __future__ import annotations

from dataclasses import dataclass

from hophinge.coordination.events import ClientRequest, ClientResponse, Outputs
from hophinge.coordination.messages import Reply, RequestOrigin, Submit
from hophinge.coordination.registers import Outcome
from hophinge.coordination.replica_state import ReplicaState
from hophinge.coordination.view import Replica

RETRY_INTERVAL_S = 0.3  # after which a request without a reply is sent to the head again


@dataclass
class PendingRequest:
    """A request without a reply; times are of the replica's clock."""

    request: ClientRequest
    expires_at: float
    last_sent_at: float


class ClientRequests:
    """The pending requests of this replica's clients."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state
        self.pending: dict[int, PendingRequest] = {}

    def begin(self, now: float, request: ClientRequest, outputs: Outputs) -> None:
        """Send a new request to the head; at a replica that is isolated, its outcome is unknown at once."""
        if self.state.is_isolated(now):
            outputs.responses.append(ClientResponse(request.request_id, None))
            return
        pending = PendingRequest(request, now + request.timeout_s, now)
        self.pending[request.request_id] = pending
        self._send(pending, outputs)

    def _send(self, pending: PendingRequest, outputs: Outputs) -> None:
        state = self.state
        request = pending.request
        head = state.view.head() if state.view is not None else None
        if head is None:
            return
        submit = Submit(RequestOrigin(state.me, request.request_id), request.key, request.change)
        if head.address != state.me.address:
            outputs.send(head.address, submit)
        else:
            state.chain.handle_submit(submit, outputs)

    def retry_all(self) -> None:
        """Send all requests again with the next tick: the head may be another, and messages to the last one lost."""
        for pending in self.pending.values():
            pending.last_sent_at = float("-inf")

    def tick(self, now: float, outputs: Outputs) -> None:
        """Send again the requests without a reply, and answer those that have expired with an unknown outcome."""
        for request_id, pending in list(self.pending.items()):
            if now >= pending.expires_at:
                del self.pending[request_id]
                outputs.responses.append(ClientResponse(request_id, None))
            elif now - pending.last_sent_at >= RETRY_INTERVAL_S:
                pending.last_sent_at = now
                self._send(pending, outputs)

    def handle_reply(self, now: float, source: Replica, reply: Reply, outputs: Outputs) -> None:
        """Answer the client with the tail's reply; a second reply to one request is ignored."""
        pending = self.pending.get(reply.request_id)
        if pending is None:
            return
        outcome = Outcome(reply.outcome)
        if outcome is Outcome.CONFLICT and not _is_final_conflict(pending.request, reply.version):
            return
        del self.pending[reply.request_id]
        outputs.responses.append(ClientResponse(reply.request_id, outcome, reply.version, reply.payload))


def _is_final_conflict(request: ClientRequest, current_version: int) -> bool:
    """Return whether a change that conflicts with the current version cannot be applied later.

    The head of the chain may run an older release, which rejects a change whose base is still to come.
    """
    return request.change is None or request.change.is_superseded_at(current_version)
