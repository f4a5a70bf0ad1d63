"""One instance as a data plane sees it: its book, the load it told of, and how its last answers went."""

from __future__ import annotations

from collections import OrderedDict

from hophinge.core.choice.books import Book
from hophinge.core.interface.nodes import NodeEntry, Phase
from hophinge.fleet.registry.instance import READY, Instance

MICROSECONDS = 1_000_000
REST_S = 0.15               # rest of an instance after a failure; doubles while it goes on failing
LONGEST_REST_S = 2.4
LOAD_FRESH_S = 0.5          # how long the load that an answer told of counts
MOST_PARTS = 4_096          # prompt parts remembered at an instance


class Node:
    """An instance, and what was learned of it here."""

    def __init__(self, instance: Instance) -> None:
        self.instance = instance
        self.book = Book(NodeEntry(instance.identity, 0, 0, Phase.ON, 1.0, 0))
        self.failures = 0
        self.rest_until = 0.0
        self.running = self.waiting = 0
        self.load_at = float("-inf")
        self.parts: OrderedDict[str, float] = OrderedDict()      # prompt parts sent there, and when last

    @property
    def serving(self) -> bool:
        """Tell whether it takes new requests."""
        return self.instance.state == READY

    def rests(self, now: float) -> bool:
        """Tell whether it is spared after a failure."""
        return now < self.rest_until

    def failed(self, now: float) -> None:
        """An attempt failed here."""
        self.rest_until = now + min(LONGEST_REST_S, REST_S * 2 ** self.failures)
        self.failures += 1

    def answered(self) -> None:
        """An attempt was served here."""
        self.failures = 0
        self.rest_until = 0.0

    def told_load(self, now: float, running: int, waiting: int) -> None:
        """Take the load that an answer told of."""
        self.running, self.waiting, self.load_at = running, waiting, now

    def others(self, now: float) -> int:
        """Tell how many requests of other callers were there lately."""
        if now - self.load_at > LOAD_FRESH_S:
            return 0
        return max(0, self.running + self.waiting - len(self.book.slots))

    def remember(self, now: float, parts: list[str]) -> None:
        """Prompt parts were read here."""
        for part in parts:
            self.parts[part] = now
            self.parts.move_to_end(part)
        while len(self.parts) > MOST_PARTS:
            self.parts.popitem(last=False)
