"""Has enough other control members hold records before they are acknowledged, so that losing one hides nothing."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import dataclass

from hophinge.coordination.codec import wire
from hophinge.coordination.dissemination import Record

HOLD_S = 0.8                # waited for the other members; an instance waits a second for its acknowledgement


@wire(73)
@dataclass(frozen=True, slots=True)
class Hold:
    """Records that other control members have to hold before they are acknowledged."""

    token: int
    records: tuple[Record, ...]


@wire(74)
@dataclass(frozen=True, slots=True)
class Held:
    """The records of a token are held."""

    token: int


@dataclass
class Holding:
    """Records on their way to enough members."""

    needed: int
    done: asyncio.Future[bool]
    holders: set[str]


class Holdings:
    """The records of one control member that are on their way."""

    def __init__(self, send: Callable[[str, object], None]) -> None:
        self.send = send
        self.under_way: dict[int, Holding] = {}
        self.tokens = itertools.count(1)

    async def hold(self, record: Record, others: list[str], needed: int) -> bool:
        """Have a record held; tells whether enough members said so in time."""
        token, loop = next(self.tokens), asyncio.get_running_loop()
        holding = Holding(needed, loop.create_future(), set())
        self.under_way[token] = holding
        for address in others:
            self.send(address, Hold(token, (record,)))
        try:
            if needed:
                async with asyncio.timeout(HOLD_S):
                    await holding.done
        except TimeoutError:
            return False
        finally:
            del self.under_way[token]
        return True

    def held(self, token: int, source: str) -> None:
        """A member holds the records of a token."""
        holding = self.under_way.get(token)
        if holding is None:
            return
        holding.holders.add(source)
        if len(holding.holders) >= holding.needed and not holding.done.done():
            holding.done.set_result(True)
