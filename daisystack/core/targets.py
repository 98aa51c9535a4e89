"""Track which version of each model's weights is wanted, and since when."""

from __future__ import annotations

from attrs import define, field, frozen

__all__ = ["LONG_AGO_S", "Targets", "WeightTarget"]

LONG_AGO_S = float("-inf")
# An engine loads for some tenths of a second, and gets no requests in the last second or more of a
# version.
MIN_USABLE_S = 2.0


@frozen
class WeightTarget:
    """Version of a model that all engines should serve."""

    model: str
    version: int


@define
class Targets:
    """Wanted versions of each model and when they were learned; the newest never decreases."""

    # A connected process learns of a version within this time, so a version that it missed is
    # at most this much older than the one that it learned of next.
    max_learning_delay_s: float = 2.0
    _learned_s: dict[str, dict[int, float]] = field(factory=dict)

    def learn(self, target: WeightTarget, learned_s: float) -> bool:
        """Record a target and return whether it is newer than all before.

        learned_s is LONG_AGO_S for a target found at startup. An older version that only a peer
        learned of is recorded too, since it limits the use of the versions before it.
        """
        newest = self.version(target.model)
        learned = self._learned_s.setdefault(target.model, {})
        if target.version > newest + 1 and newest > 0 and learned_s != LONG_AGO_S:
            # The skipped versions were published at an unknown time before this one.
            learned.setdefault(newest + 1, learned_s - self.max_learning_delay_s)
        known_s = learned.get(target.version)
        if known_s is None or LONG_AGO_S < learned_s < known_s:
            learned[target.version] = learned_s
        return target.version > newest

    def version(self, model: str) -> int:
        """Return the newest version of a model, 0 when none is known."""
        return max(self._learned_s.get(model, ()), default=0)

    def known_versions(self) -> list[tuple[WeightTarget, float]]:
        """Return all known versions and when they were learned, to send to peers."""
        return [
            (WeightTarget(model, version), learned_s)
            for model, learned in self._learned_s.items()
            for version, learned_s in sorted(learned.items())
        ]

    def newest(self) -> list[WeightTarget]:
        """Return the newest version of each model."""
        return [WeightTarget(model, self.version(model)) for model in self._learned_s]

    def usable_until_s(self, model: str, version: int, bound_s: float) -> float:
        """Return until when requests may begin on a version: bound_s after the next was learned."""
        later = [v for v in self._learned_s.get(model, ()) if v > version]
        return self._learned_s[model][min(later)] + bound_s if later else float("inf")

    def usable_versions(self, model: str, above: int, bound_s: float, now_s: float) -> list[int]:
        """Return the versions above one that stay usable for MIN_USABLE_S or more, newest first."""
        known = sorted(self._learned_s.get(model, ()), reverse=True)
        return [
            version
            for version in known
            if version > above
            and self.usable_until_s(model, version, bound_s) - now_s >= MIN_USABLE_S
        ]

    def age_s(self, model: str, now_s: float) -> float:
        """Return how long ago the newest version of a model was learned, inf when none is known."""
        learned_s = self._learned_s.get(model)
        return now_s - learned_s[self.version(model)] if learned_s else float("inf")
