"""How copies of streams are made whole: deltas for a holder that knows less, and what a delta changes here."""

from __future__ import annotations

from collections.abc import Iterator

from hophinge.cluster.messages import Delta, Item
from hophinge.cluster.entries import DELTA_BYTES, Shelf, Stream, size
from hophinge.cluster.wire import ROOM

MAX_ITEMS = 100  # of one delta; a reader takes 128


def _delta(owner: str, topic: int, held: Stream, after: int, upto: int, items: list[Item]) -> Delta:
    return Delta(owner, topic, held.start, after, upto, items, held.floor)


def deltas(shelf: Shelf, owner: str, topic: int, start: int, high: int) -> Iterator[Delta]:
    """Tell a holder that knows a start's stream up to `high` the rest, in datagrams' sizes, in order."""
    held = shelf.stream(owner, topic)
    if held is None or (held.start == start and held.high <= high):
        return
    after = high if held.start == start and high >= held.floor else 0
    room = ROOM - DELTA_BYTES - len(owner.encode())
    items: list[Item] = []
    for item in sorted((one for one in held.items.values() if one.count > after), key=lambda one: one.count):
        if items and (room < size(item) or len(items) >= MAX_ITEMS):
            yield _delta(owner, topic, held, after, items[-1].count, items)
            after, items, room = items[-1].count, [], ROOM - DELTA_BYTES - len(owner.encode())
        items.append(item)
        room -= size(item)
    yield _delta(owner, topic, held, after, held.high, items)


def newest(shelf: Shelf, owner: str, topic: int, base: int, room: int) -> Delta | None:
    """Tell what a stream has above a count, if that is room enough for it: part of it would be of no use."""
    held = shelf.stream(owner, topic)
    if held is None or held.high <= base:
        return None
    after = max((item.count for item in held.items.values() if item.count <= base), default=0)
    if after:
        after = max(after, held.floor)
    items = [item for item in held.items.values() if item.count > after]
    if len(items) > MAX_ITEMS or DELTA_BYTES + len(owner.encode()) + sum(map(size, items)) > room:
        return None
    return _delta(owner, topic, held, after, held.high, sorted(items, key=lambda item: item.count))


def take(shelf: Shelf, delta: Delta) -> bool:
    """Take a delta of the owner's present start; False where something before it is missing."""
    topics = shelf.streams.setdefault(delta.owner, {})
    held = topics.get(delta.topic)
    if held is None or held.start != delta.start:
        held = topics[delta.topic] = Stream(delta.start, items={}, since={})
    if held.high >= delta.floor:
        if delta.upto <= held.high:
            return True
        if delta.after > held.high:
            return False
    elif delta.after not in (0, held.chain):
        # Below the floor what was taken back may be missing: only the whole from its beginning tells.
        return False
    listed = {item.key for item in delta.items}
    for key in [
        key for key, item in held.items.items() if delta.after < item.count <= delta.upto and key not in listed
    ]:
        shelf.strike(delta.owner, held, key, delta.topic)
    for item in delta.items:
        before = held.items.get(item.key)
        if not delta.after < item.count <= delta.upto or (before is not None and before.count >= item.count):
            continue
        if shelf.fits(delta.owner, delta.topic, item, before):
            shelf.place(delta.owner, held, item, delta.topic)
        else:
            held.partial = True
            shelf.count("entries_over_bound")
    held.chain = delta.upto
    held.high = max(held.high, delta.upto)
    held.floor = max(held.floor, min(delta.floor, held.high))
    shelf.changed(delta.owner)
    return True
