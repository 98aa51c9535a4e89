"""Know which version of a model's weights is wanted, and since when."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["LONG_AGO_S", "Targets", "WeightTarget"]

LONG_AGO_S = float("-inf")


@frozen
class WeightTarget:
    """Name the version of a model that all engines should serve."""

    model: str
    version: int


@define
class _Wanted:
    version: int
    learned_s: float
    previous: int


@define
class Targets:
    """Keep the newest version wanted of each model; it never goes back."""

    _wanted: dict[str, _Wanted] = field(factory=dict)

    def take(self, target: WeightTarget, learned_s: float) -> bool:
        """Take a target; one found at start was learned at LONG_AGO_S."""
        known = self._wanted.get(target.model)
        if known is not None and target.version <= known.version:
            return False
        previous = known.version if known else target.version
        self._wanted[target.model] = _Wanted(target.version, learned_s, previous)
        return True

    def version(self, model: str) -> int:
        """Return the wanted version, 0 when none is known."""
        wanted = self._wanted.get(model)
        return wanted.version if wanted else 0

    def all(self) -> list[WeightTarget]:
        """Return the version wanted of each model."""
        return [WeightTarget(model, wanted.version) for model, wanted in self._wanted.items()]

    def min_version(self, model: str, roll_s: float, now_s: float) -> int:
        """Return the oldest version that may still serve: the wanted one once its time is up."""
        wanted = self._wanted.get(model)
        if wanted is None:
            return 0
        return wanted.version if now_s - wanted.learned_s >= roll_s else wanted.previous

    def age_s(self, model: str, now_s: float) -> float:
        """Return how long ago the wanted version was learned."""
        wanted = self._wanted.get(model)
        return now_s - wanted.learned_s if wanted else float("inf")
