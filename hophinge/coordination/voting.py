"""The votes of one replica on the next view: each is on its disk before it is sent."""

from __future__ import annotations

from hophinge.coordination.events import Outputs
from hophinge.coordination.message_router import MessageRouter
from hophinge.coordination.messages import Accept, Accepted, Decided, Prepare, Promise
from hophinge.coordination.replica_state import ReplicaState
from hophinge.coordination.view import Replica


class Voter:
    """Answers ballots of other replicas and of this one."""

    def __init__(self, state: ReplicaState, router: MessageRouter) -> None:
        self.state = state
        self.router = router

    def handle_prepare(self, now: float, source: Replica, prepare: Prepare, outputs: Outputs) -> None:
        """Answer a request for a promise."""
        state = self.state
        if not self._votes_on(prepare.view_number, source, outputs) or not state.is_writable:
            return
        state.acceptor.begin_instance(prepare.view_number)
        answer = state.acceptor.prepare(prepare, state.chain.synced_view, state.chain.registers.sequence)
        if isinstance(answer, Promise):
            outputs.records.append(state.acceptor.vote)
        self.router.send(now, source, answer, outputs)

    def handle_accept(self, now: float, source: Replica, accept: Accept, outputs: Outputs) -> None:
        """Answer a proposal."""
        state = self.state
        if not self._votes_on(accept.proposal.number, source, outputs) or not state.is_writable:
            return
        state.acceptor.begin_instance(accept.proposal.number)
        answer = state.acceptor.accept(accept)
        if isinstance(answer, Accepted):
            outputs.records.append(state.acceptor.vote)
        self.router.send(now, source, answer, outputs)

    def _votes_on(self, view_number: int, source: Replica, outputs: Outputs) -> bool:
        """Return whether this replica votes on a view number now; a source that lags is sent the view in force."""
        view = self.state.view
        if view is None or view.voting_name(self.state.me) is None:
            return False
        if view_number <= view.number and view.number >= 1:
            outputs.send(source.address, Decided(view))
        return view_number == view.number + 1
