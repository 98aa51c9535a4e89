"""Know which version of a model's weights is wanted, and since when."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["LONG_AGO_S", "Targets", "WeightTarget"]

LONG_AGO_S = float("-inf")
# A process in touch learns of a version within this, so one that it never saw is no older.
SKIPPED_MARGIN_S = 2.0
# An engine loads for some tenths of a second, and gets nothing in a version's last second and more.
MIN_USABLE_S = 2.0


@frozen
class WeightTarget:
    """Name the version of a model that all engines should serve."""

    model: str
    version: int


@define
class Targets:
    """Keep the versions wanted of each model and since when; the newest never goes back."""

    _learned_s: dict[str, dict[int, float]] = field(factory=dict)

    def learn(self, target: WeightTarget, learned_s: float) -> bool:
        """Take a target and say whether it is the newest; one found at start is from LONG_AGO_S.

        An older version that a peer learned in time ends the ones before it all the same.
        """
        newest = self.version(target.model)
        learned = self._learned_s.setdefault(target.model, {})
        if target.version > newest + 1 and newest > 0 and learned_s != LONG_AGO_S:
            # What came between was named at some time before.
            learned.setdefault(newest + 1, learned_s - SKIPPED_MARGIN_S)
        known_s = learned.get(target.version)
        if known_s is None or LONG_AGO_S < learned_s < known_s:
            learned[target.version] = learned_s
        return target.version > newest

    def version(self, model: str) -> int:
        """Return the wanted version, 0 when none is known."""
        return max(self._learned_s.get(model, ()), default=0)

    def known_versions(self) -> list[tuple[WeightTarget, float]]:
        """Return all known versions and when they were learned, for peers."""
        return [
            (WeightTarget(model, version), learned_s)
            for model, learned in self._learned_s.items()
            for version, learned_s in sorted(learned.items())
        ]

    def newest(self) -> list[WeightTarget]:
        """Return the version wanted of each model."""
        return [WeightTarget(model, self.version(model)) for model in self._learned_s]

    def usable_until_s(self, model: str, version: int, bound_s: float) -> float:
        """Return until when requests may begin on a version: a bound after the next was named."""
        later = [v for v in self._learned_s.get(model, ()) if v > version]
        return self._learned_s[model][min(later)] + bound_s if later else float("inf")

    def usable_versions(self, model: str, above: int, bound_s: float, now_s: float) -> list[int]:
        """Return the versions above one that may serve for a while yet, the newest first."""
        known = sorted(self._learned_s.get(model, ()), reverse=True)
        return [
            version
            for version in known
            if version > above
            and self.usable_until_s(model, version, bound_s) - now_s >= MIN_USABLE_S
        ]

    def age_s(self, model: str, now_s: float) -> float:
        """Return how long ago the wanted version was learned."""
        learned_s = self._learned_s.get(model)
        return now_s - learned_s[self.version(model)] if learned_s else float("inf")
