"""Look-up by scope: returns the most specific value that matches a request, or all matching values.

A scope names any of tenant, volume and class. There is one map for each of the eight combinations of named parts.
They are searched from the most specific one on, where a volume is more specific than a tenant, and a tenant than a
class. The cost is at most eight look-ups, independent of the number of tenants.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Generic, TypeVar

from hophinge.routing.records import Scope

Value = TypeVar("Value")
Key = tuple[str, str, str]
"""Tenant, volume and class; each is empty if the scope does not name it."""

# Bits of the specificity mask; a higher bit marks a more specific part.
VOLUME = 4
TENANT = 2
CLASS = 1


def specificity(scope: Scope) -> int:
    """Return the parts that a scope names as a bit mask; a larger mask is more specific."""
    return (VOLUME if scope.volume else 0) | (TENANT if scope.tenant else 0) | (CLASS if scope.klass else 0)


class ScopeIndex(Generic[Value]):
    """An immutable index of values by scope; a changed copy shares the maps that did not change."""

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
        """Create an index of values, each with a different scope."""
        return cls({}).with_changes((scope, value) for scope, value in values)

    def with_changes(self, changes: Iterable[tuple[Scope, Value | None]]) -> ScopeIndex[Value]:
        """Create an index with the values of some scopes replaced, or removed if the new value is None."""
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
        """Return the value of exactly this scope; None if there is none."""
        return self._maps.get(specificity(scope), {}).get((scope.tenant, scope.volume, scope.klass))

    def matching(self, tenant: str, volume: str, klass: str) -> Iterator[Value]:
        """Yield the values whose scope matches, most specific first."""
        for by_tenant, by_volume, by_class, values in self._order:
            value = values.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                yield value

    def most_specific(self, tenant: str, volume: str, klass: str) -> Value | None:
        """Return the value of the most specific matching scope; None if no scope matches."""
        for by_tenant, by_volume, by_class, values in self._order:
            value = values.get((tenant if by_tenant else "", volume if by_volume else "", klass if by_class else ""))
            if value is not None:
                return value
        return None
