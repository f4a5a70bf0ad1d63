"""Messages between replicas: one handler for each type, and delivery to the local replica without the network."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

from hophinge.coordination.events import Outputs
from hophinge.coordination.messages import ReplicaMessage
from hophinge.coordination.view import Replica, View

MessageT = TypeVar("MessageT")


class MessageRouter:
    """Hands received messages to their handlers and addresses those that are sent.

    A replica that is a voter answers its own ballots: what it sends to itself is handled at once, in the same step.
    """

    def __init__(self, me: Replica) -> None:
        self.me = me
        # Any: a handler takes the type that is its key, which `register` checks and a dict cannot express.
        self._handlers: dict[type, Callable[[float, Replica, Any, Outputs], None]] = {}

    def register(
        self, message_type: type[MessageT], handler: Callable[[float, Replica, MessageT, Outputs], None]
    ) -> None:
        """Register the handler of a message type: it gets the time, the source, the message and the outputs."""
        self._handlers[message_type] = handler

    def has_handler(self, message: object) -> bool:
        """Return whether messages of this type are handled here."""
        return type(message) in self._handlers

    def dispatch(self, now: float, source: Replica, message: object, outputs: Outputs) -> None:
        """Handle a received message; one of an unknown type is ignored, as a newer peer may send it."""
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(now, source, message, outputs)

    def send(self, now: float, recipient: Replica, message: ReplicaMessage, outputs: Outputs) -> None:
        """Send a message to a replica, which may be the local one."""
        if recipient.address != self.me.address:
            outputs.send(recipient.address, message)
        else:
            self.dispatch(now, self.me, message, outputs)

    def broadcast(self, now: float, view: View, message: ReplicaMessage, outputs: Outputs) -> None:
        """Send a message to all voters of a view, the local replica last where it is one of them."""
        for voter in view.voters:
            if voter.address != self.me.address:
                outputs.send(voter.address, message)
        if view.voting_name(self.me) is not None:
            self.dispatch(now, self.me, message, outputs)
