"""A head's own side of its permit: when it may begin to go, and what it was told that it has to keep to.

It goes only once the issuer has told it that the begin is stored. Hearsay can hold it back and never lets it go: a
halt that a peer has heard of counts as one.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from msgspec import Struct

from hophinge.cluster.interface import Entry, Topic
from hophinge.core.errors import HophingeError
from hophinge.maintenance.messages import Word
from hophinge.maintenance.permits import BEGIN_US, Permit, State

HALT = "halt/"  # before NAME/AGAIN in the key of an entry that tells of a halt


class IssuerError(HophingeError):
    """Words of another store than the one that this head takes its permits from."""

    code = "permit-issuer-unknown"
    remedy = "Let all control services of an installation use one store; restart the head to have it follow another."


class Go(Struct, frozen=True):
    """Go out, and come back with the build (empty: with any)."""

    permit: str
    build: str


class Holder:
    """One head process's permit; `process` and `build` are its own."""

    def __init__(self, process: int, build: str) -> None:
        self.process, self.build = process, build
        self.word: Word | None = None
        self.wish, self.wished_at = "", 0  # the key of an ask of this head's own
        self.wishes = 0  # that were renewed, as what was granted came too late to be begun
        self.granted: dict[str, int] = {}  # permits, and when this head may not begin them any more
        self.gone: str = ""  # the permit and build that it was last let go for
        self.older = 0  # words that came behind later ones

    def ask(self, now_us: int, key: str) -> None:
        """Wish to go out; the wish stands until it is taken back."""
        self.wish, self.wished_at = key, now_us

    def unask(self) -> None:
        """Take the wish back; what was granted for it lapses."""
        self.wish = ""

    def asks(self, now_us: int) -> str:
        """Tell the key to ask with, or nothing; one that got no answer in its time is asked anew, as another."""
        own = self.word.own if self.word is not None else None
        unanswered = own is None or (own.state is State.GRANTED and own.key == self.wish)
        if self.wish and unanswered and now_us >= self.wished_at + BEGIN_US:
            self.wishes += 1
            self.wish, self.wished_at = f"{self.wish.partition('#')[0]}#{self.wishes}", now_us
        return self.wish

    def told(self, now_us: int, word: Word) -> list[Go]:
        """Take a word; one that is older than what is held changes nothing. Raises IssuerError."""
        before = self.word
        if before is not None:
            if word.issuer != before.issuer:
                raise IssuerError(f"a word of the store {word.issuer}, not of {before.issuer}")
            if (word.fence, word.number) <= (before.fence, before.number):
                self.older += 1
                return []
        self.word = word
        own = word.own
        if own is None:
            self.granted.clear()
            return []
        if own.state is State.GRANTED:
            mine = own.by.startswith("head ") and own.key == self.wish
            self.granted.setdefault(own.id, (self.wished_at if mine else now_us) + BEGIN_US)
        elif self._lets_go(own):
            self.gone = f"{own.id}/{own.build}"
            return [Go(own.id, own.build)]
        return []

    def _lets_go(self, own: Permit) -> bool:
        """Tell whether a permit that is begun has this process go; it never ends by time."""
        if self.gone == f"{own.id}/{own.build}" or own.state is State.FREE:
            return False
        if own.process == self.process:
            return True
        # Back with a build that is not wanted any more: it goes once more, under the same permit.
        return bool(own.build) and own.build != self.build and own.state in (State.OUT, State.BACK)

    def begins(self, now_us: int, halted: Iterable[str] = ()) -> str:
        """Tell the permit that this head wants to begin, or nothing; `halted` are releases as peers have heard."""
        own = self.word.own if self.word is not None else None
        if own is None or own.state is not State.GRANTED or now_us >= self.granted.get(own.id, 0):
            return ""
        known = {*halted, *(self.word.halted if self.word is not None else ())}
        if any(own.key.startswith(f"{one}/") for one in known):
            return ""
        if own.by.startswith("head ") and own.key != self.wish:
            return ""
        return own.id


def halts(entries: Iterable[Entry]) -> set[str]:
    """Tell the releases that peers have heard are halted, as NAME/AGAIN."""
    return {
        entry.key.removeprefix(HALT) for entry in entries if entry.topic is Topic.DRAINS and entry.key.startswith(HALT)
    }


def drains(word: Word | None) -> tuple[Mapping[str, str], Mapping[str, str]]:
    """Tell what a word says of bricks: permits of those that are out, and of those to take up."""
    return (word.out, word.back) if word is not None else ({}, {})
