"""Look-up by scope: of all forms that fit a request, the most specific one, or all of them.

A scope names any of tenant, volume and class. Eight maps, one for each set of named parts, are asked from the most
specific on: volume before tenant before class. The cost is that of a few look-ups, however many tenants there are.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from hophinge.routing.records import Scope

Value = TypeVar("Value")
Key = tuple[str, str, str]


def specificity(scope: Scope) -> int:
    """Tell which parts a scope names; a larger number is more specific."""
    return (4 if scope.volume else 0) | (2 if scope.tenant else 0) | (1 if scope.klass else 0)


class ScopeIndex(Generic[Value]):
    """Values by scope; never changed once made, so that two versions can share what did not change."""

    __slots__ = ("_maps", "_order", "size")

    def __init__(self, maps: dict[int, dict[Key, Value]]) -> None:
        self._maps = maps
        self._order = [(bool(at & 2), bool(at & 4), bool(at & 1), maps[at]) for at in sorted(maps, reverse=True)]
        self.size = sum(map(len, maps.values()))

    @classmethod
    def of(cls, values: Iterable[tuple[Scope, Value]]) -> ScopeIndex[Value]:
        """Make an index of values, each of a scope of its own."""
        return cls({}).with_changes((scope, value) for scope, value in values)

    def with_changes(self, changes: Iterable[tuple[Scope, Value | None]]) -> ScopeIndex[Value]:
        """Make an index with some scopes set anew or, with None, removed; maps without a change are shared."""
        maps = dict(self._maps)
        own: set[int] = set()
        for scope, value in changes:
            at = specificity(scope)
            if at not in own:
                own.add(at)
                maps[at] = dict(maps.get(at, ()))
            key = scope.tenant, scope.volume, scope.klass
            if value is None:
                maps[at].pop(key, None)
            else:
                maps[at][key] = value
        return ScopeIndex({at: rows for at, rows in maps.items() if rows})

    def __iter__(self) -> Iterator[Value]:
        for rows in self._maps.values():
            yield from rows.values()

    def get(self, scope: Scope) -> Value | None:
        """Tell the value of just this scope."""
        return self._maps.get(specificity(scope), {}).get((scope.tenant, scope.volume, scope.klass))

    def matching(self, tenant: str, volume: str, klass: str) -> Iterator[Value]:
        """Tell every value whose scope fits, the most specific first."""
        for by_tenant, by_volume, by_class, rows in self._order:
            value = rows.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                yield value

    def most_specific(self, tenant: str, volume: str, klass: str) -> Value | None:
        """Tell the value of the most specific scope that fits; None where none does."""
        for by_tenant, by_volume, by_class, rows in self._order:
            value = rows.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                return value
        return None
