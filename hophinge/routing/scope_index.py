"""Look-up by scope: of all values that match a request, the most specific one, or all of them.

A scope names any of tenant, volume and class. There is a map for each of the eight sets of named parts; they are
looked up from the most specific on, volume before tenant before class. The cost is a few look-ups, however many
tenants there are.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from hophinge.routing.records import Scope

Value = TypeVar("Value")
Key = tuple[str, str, str]
"""Tenant, volume and class; empty where a scope does not name it."""

# Bits of a mask, by which parts are more specific.
VOLUME = 4
TENANT = 2
CLASS = 1


def specificity(scope: Scope) -> int:
    """Return the parts that a scope names as a bit mask; a larger one is more specific."""
    return (VOLUME if scope.volume else 0) | (TENANT if scope.tenant else 0) | (CLASS if scope.klass else 0)


class ScopeIndex(Generic[Value]):
    """Immutable values by scope; an index and its successor share the maps that did not change."""

    __slots__ = ("_maps", "_order", "size")

    def __init__(self, maps: dict[int, dict[Key, Value]]) -> None:
        self._maps = maps
        self._order = [
            (bool(mask & TENANT), bool(mask & VOLUME), bool(mask & CLASS), maps[mask])
            for mask in sorted(maps, reverse=True)
        ]
        self.size = sum(map(len, maps.values()))

    @classmethod
    def of(cls, values: Iterable[tuple[Scope, Value]]) -> ScopeIndex[Value]:
        """Create an index; each value has a scope of its own."""
        return cls({}).with_changes((scope, value) for scope, value in values)

    def with_changes(self, changes: Iterable[tuple[Scope, Value | None]]) -> ScopeIndex[Value]:
        """Create an index with the values of some scopes replaced or, with None, removed."""
        maps = dict(self._maps)
        copied: set[int] = set()
        for scope, value in changes:
            mask = specificity(scope)
            if mask not in copied:
                copied.add(mask)
                maps[mask] = dict(maps.get(mask, ()))
            key = scope.tenant, scope.volume, scope.klass
            if value is None:
                maps[mask].pop(key, None)
            else:
                maps[mask][key] = value
        return ScopeIndex({mask: values for mask, values in maps.items() if values})

    def __iter__(self) -> Iterator[Value]:
        for values in self._maps.values():
            yield from values.values()

    def get(self, scope: Scope) -> Value | None:
        """Return the value of exactly this scope."""
        return self._maps.get(specificity(scope), {}).get((scope.tenant, scope.volume, scope.klass))

    def matching(self, tenant: str, volume: str, klass: str) -> Iterator[Value]:
        """Yield the values whose scope matches, the most specific first."""
        for by_tenant, by_volume, by_class, values in self._order:
            value = values.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                yield value

    def most_specific(self, tenant: str, volume: str, klass: str) -> Value | None:
        """Return the value of the most specific scope that matches; None where none does."""
        for by_tenant, by_volume, by_class, values in self._order:
            value = values.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                return value
        return None
