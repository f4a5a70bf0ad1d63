"""Votes of one replica on the next view: promises and acceptances, written before they are told."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hophinge.coordination.messages import Accept, Accepted, Decided, Prepare, Promise
from hophinge.coordination.events import Outputs
from hophinge.coordination.view import Replica, View

if TYPE_CHECKING:
    from hophinge.coordination.replica import ReplicaStateMachine


def voter_identity(view: View, replica: Replica) -> str | None:
    """Tell the name under which a replica votes in a view; None where it has no vote."""
    name = replica.address if view.number == 0 else replica.identity
    return name if view.voter(name) is not None else None


class Voter:
    """How one replica answers the ballots of others and its own."""

    def __init__(self, machine: ReplicaStateMachine) -> None:
        self.machine = machine

    def _is_out_of_date(self, source: Replica, view_number: int, outputs: Outputs) -> bool:
        """Tell whether a message is about another view number than the next; who lags is told the view in force."""
        view = self.machine.view
        if view is None or voter_identity(view, self.machine.me) is None:
            return True
        if view_number <= view.number and view.number >= 1:
            outputs.messages.append((source.address, Decided(view)))
        return view_number != view.number + 1

    def handle_prepare(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Answer a request for a promise."""
        assert isinstance(message, Prepare)
        machine = self.machine
        if self._is_out_of_date(source, message.target, outputs) or not machine.is_writable:
            return
        machine.acceptor.begin_instance(message.target)
        answer = machine.acceptor.prepare(message, machine.chain.synced_view, machine.chain.registers.sequence)
        if isinstance(answer, Promise):
            outputs.records.append(machine.acceptor.vote)
        self._tell(now, source, answer, outputs)

    def handle_accept(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Answer a proposal."""
        assert isinstance(message, Accept)
        machine = self.machine
        if self._is_out_of_date(source, message.proposal.number, outputs) or not machine.is_writable:
            return
        machine.acceptor.begin_instance(message.proposal.number)
        answer = machine.acceptor.accept(message)
        if isinstance(answer, Accepted):
            outputs.records.append(machine.acceptor.vote)
        self._tell(now, source, answer, outputs)

    def _tell(self, now: float, target: Replica, message: object, outputs: Outputs) -> None:
        machine = self.machine
        if target.address != machine.me.address:
            outputs.messages.append((target.address, message))
        else:
            machine.handlers[type(message)](now, machine.me, message, outputs)
