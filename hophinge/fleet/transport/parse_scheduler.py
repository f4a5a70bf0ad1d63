"""Shares the event loop's time among the connections whose received bytes are not parsed yet, without I/O.

Parsing takes time by the number of chunks and header fields, not by bytes: a client that sends chunks of one byte makes
a process parse for a hundred times as long as one that sends the same bytes at once. The connections take turns, and
other work goes on between them.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Protocol

TURN_S = 0.005  # of parsing in one iteration of the event loop, before other work goes on


class EventLoop(Protocol):
    """What is needed of an event loop."""

    def time(self) -> float:
        """Return its clock, in seconds."""

    def call_soon(self, callback: Callable[[], object], /) -> object:
        """Call back in the next iteration."""


class Parser(Protocol):
    """A connection with bytes to parse."""

    def parse_on(self) -> None:
        """Parse a small part of them; a connection that has more asks for another turn."""


class ParseScheduler:
    """The connections that wait for a turn, in their order."""

    def __init__(self) -> None:
        self._waiting: dict[Parser, None] = {}
        self._is_scheduled = False

    def add(self, loop: EventLoop, parser: Parser) -> None:
        """Have a connection parse on in its turn; one that waits already keeps its place."""
        self._waiting.setdefault(parser)
        self._schedule(loop)

    def discard(self, parser: Parser) -> None:
        """Drop a connection that has nothing more to parse."""
        self._waiting.pop(parser, None)

    def is_waiting(self, parser: Parser) -> bool:
        """Return whether a connection waits for its turn."""
        return parser in self._waiting

    def _run(self, loop: EventLoop) -> None:
        self._is_scheduled = False
        turns = len(self._waiting)
        until = loop.time() + TURN_S
        while self._waiting and turns and loop.time() < until:
            parser = next(iter(self._waiting))
            del self._waiting[parser]
            parser.parse_on()
            turns -= 1
        self._schedule(loop)

    def _schedule(self, loop: EventLoop) -> None:
        if self._waiting and not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(partial(self._run, loop))
