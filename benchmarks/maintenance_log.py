"""The replicated log of `maintenance_issuers.py` with pysyncobj itself: five members in one process."""

from __future__ import annotations

import random
import tempfile
from collections import deque
from pathlib import Path
from typing import Any

import pysyncobj.syncobj
from maintenance_issuers import MOST, NODES, History, Issuer
from pysyncobj import SyncObj, SyncObjConf, replicated
from pysyncobj.node import Node
from pysyncobj.transport import Transport

TICKS = 10  # in one round, each 0.1 s of the log's clock
CLOCK = [0.0]


class Lines(Transport):  # type: ignore[misc]   # pysyncobj is untyped
    """Messages between members, through the one who knows which lines are cut."""

    def __init__(self, owner: Members, me: int) -> None:
        super().__init__(None, None, [])
        self.owner, self.me = owner, me

    @property
    def ready(self) -> bool:
        """Tell that nothing has to be opened."""
        return True

    def waitReady(self) -> None:  # noqa: N802
        """Wait for nothing."""

    def addNode(self, node: Node) -> None:  # noqa: N802
        """Take a member."""

    def dropNode(self, node: Node) -> None:  # noqa: N802
        """Drop a member."""

    def send(self, node: Node, message: Any) -> bool:
        """Queue a message where there is a line."""
        if not self.owner.line(self.me, int(node.id)):
            return False
        self.owner.queue.append((self.me, int(node.id), message))
        return True

    def destroy(self) -> None:
        """Close nothing."""


class Places(SyncObj):  # type: ignore[misc]
    """The table of places as each member has it."""

    def __init__(self, me: int, lines: Lines, folder: Path) -> None:
        conf = SyncObjConf(
            autoTick=False,
            journalFile=str(folder / f"journal-{me}"),
            dynamicMembershipChange=False,
            commandsWaitLeader=False,
            logCompactionMinTime=10**9,
            logCompactionMinEntries=10**9,
        )
        super().__init__(Node(str(me)), [Node(str(one)) for one in range(NODES) if one != me], conf, transport=lines)
        self.held: set[int] = set()

    @replicated  # type: ignore[untyped-decorator]   # as above
    def take(self, permit: int) -> bool:
        """Take a place."""
        if len(self.held) >= MOST:
            return False
        self.held.add(permit)
        return True

    @replicated  # type: ignore[untyped-decorator]   # as above
    def give(self, permit: int) -> bool:
        """Give a place back."""
        self.held.discard(permit)
        return True


class Members(Issuer):
    """Five members on the history's hosts."""

    def __init__(self, history: History) -> None:
        super().__init__(history)
        random.seed(history.seed)  # the library's election times
        CLOCK[0] = 0.0
        pysyncobj.syncobj.monotonicTime = lambda: CLOCK[0]
        self.folder = tempfile.TemporaryDirectory()
        self.queue: deque[tuple[int, int, Any]] = deque()
        self.now, self.seen = 0, set[tuple[int, int]]()
        self.lines = [Lines(self, me) for me in range(NODES)]
        self.nodes = [Places(me, self.lines[me], Path(self.folder.name)) for me in range(NODES)]
        self.limbo: set[int] = set()  # asked for, and nobody has told what came of it

    def line(self, one: int, other: int) -> bool:
        """Tell whether two hosts can talk now."""
        up, side = self.history.up[self.now], self.history.side[self.now]
        return one in up and other in up and side[one] == side[other]

    def ended(self, node: int) -> None:
        """Start a member again on its journal."""
        self.nodes[node].destroy()
        self.lines[node] = Lines(self, node)
        self.nodes[node] = Places(node, self.lines[node], Path(self.folder.name))
        self.seen = {pair for pair in self.seen if node not in pair}

    def turn(self, now: int) -> None:
        """Let a round pass."""
        self.now = now
        if self.limbo and now % 5 == 0:  # whoever asked and heard nothing gives it back, were it granted
            permit = min(self.limbo)
            if any(self._call(now, side, "give", permit) for side in (0, 1)):
                self.limbo.discard(permit)
        self._ticks(TICKS)

    def _ticks(self, count: int) -> None:
        for _ in range(count):
            CLOCK[0] += 0.1
            for one in range(NODES):
                for other in range(NODES):
                    if one != other and self.line(one, other) != ((one, other) in self.seen):
                        there = self.line(one, other)
                        (self.seen.add if there else self.seen.discard)((one, other))
                        (self.lines[one]._onNodeConnected if there else self.lines[one]._onNodeDisconnected)(
                            Node(str(other))
                        )
            for node in self.history.up[self.now]:
                self.nodes[node].doTick(0.0)
            for _ in range(len(self.queue)):
                sender, to, message = self.queue.popleft()
                if self.line(sender, to):
                    self.lines[to]._onMessageReceived(Node(str(sender)), message)

    def _call(self, now: int, side: int, what: str, permit: int) -> bool | None:
        """Have a command done; None: nobody told within a round."""
        self.now = now
        here = self.reach(now, side)
        answers: list[Any] = []
        if not here:
            return None
        getattr(self.nodes[min(here)], what)(
            permit, callback=lambda done, error: answers.append(done if not error else None)
        )
        for _ in range(TICKS):
            self._ticks(1)
            if answers:
                return None if answers[0] is None else bool(answers[0])
        return None

    def grant(self, now: int, side: int) -> int:
        """Ask for a place on one side."""
        self.count += 1
        told = self._call(now, side, "take", self.count)
        if told is None:
            self.limbo.add(self.count)
        return self.count if told else 0

    def free(self, now: int, side: int, permit: int) -> bool:
        """Give one back."""
        return bool(self._call(now, side, "give", permit))

    def close(self) -> None:
        """End all."""
        for node in self.nodes:
            node.destroy()
        self.folder.cleanup()
