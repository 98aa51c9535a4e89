"""Bounded table that forgets what was not used for longest."""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from attrs import define, field

__all__ = ["RecentTable"]

_T = TypeVar("_T")


@define
class RecentTable(Generic[_T]):
    """At most max_entries values by key, in the order of their latest use."""

    create: Callable[[], _T]
    max_entries: int
    _values: dict[str, _T] = field(factory=dict)

    def use(self, key: str) -> _T:
        """Return the value of a key, created if there is none, and keep it for longest."""
        value = self._values.pop(key, None)
        if value is None:
            value = self.create()
        self._values[key] = value
        if len(self._values) > self.max_entries:
            del self._values[next(iter(self._values))]
        return value

    def get(self, key: str) -> _T | None:
        """Return the value of a key without using it; None if there is none."""
        return self._values.get(key)

    def __len__(self) -> int:
        return len(self._values)
