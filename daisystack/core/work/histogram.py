"""Mean and distribution of a positive quantity in bounded state; old values lose weight."""

from __future__ import annotations

import math

from attrs import define, field

__all__ = ["DecayedHistogram", "DecayedMean"]

BUCKETS = 32
# Each bucket spans a factor of the square root of two, all of them a factor of 65,536.
BUCKETS_PER_DOUBLING = 2
# New values weigh more instead of old ones less, until weights are scaled back after so many.
MAX_HALF_LIVES = 64.0


@define
class DecayedMean:
    """Mean of values, each of which loses half of its weight in half_life_s."""

    half_life_s: float
    _weight: float = 0.0
    _sum: float = 0.0
    _origin_s: float | None = None

    def add(self, value: float, now_s: float) -> None:
        """Add a value."""
        self._add_weighted(value, self._weight_at(now_s))

    def count(self, now_s: float) -> float:
        """Return the number of values, each with the weight that it has left."""
        return self._weight / self._weight_at(now_s)

    def mean(self) -> float | None:
        """Return the mean; None without values."""
        return self._sum / self._weight if self._weight else None

    def shrunk_mean(self, prior: float, prior_count: float, now_s: float) -> float:
        """Return a mean that is near a prior while there are few values."""
        count = self.count(now_s)
        if not count:
            return prior
        return (count * self._sum / self._weight + prior_count * prior) / (count + prior_count)

    def _add_weighted(self, value: float, weight: float) -> None:
        self._weight += weight
        self._sum += weight * value

    def _weight_at(self, now_s: float) -> float:
        if self._origin_s is None:
            self._origin_s = now_s
        half_lives = (now_s - self._origin_s) / self.half_life_s
        if half_lives > MAX_HALF_LIVES:
            self._scale(0.5**half_lives)
            self._origin_s = now_s
            return 1.0
        return 2.0**half_lives

    def _scale(self, factor: float) -> None:
        self._weight *= factor
        self._sum *= factor


@define
class DecayedHistogram(DecayedMean):
    """Weights and sums of values in logarithmic buckets that begin at lowest."""

    lowest: float = 1.0
    _weights: list[float] = field(factory=lambda: [0.0] * BUCKETS)
    _sums: list[float] = field(factory=lambda: [0.0] * BUCKETS)

    def quantile(self, share: float) -> float | None:
        """Return the mean of the bucket that reaches a share of the values; None if empty."""
        left = share * self._weight
        for weight, value_sum in zip(self._weights, self._sums, strict=True):
            left -= weight
            if weight and left <= 0:
                return value_sum / weight
        return self.mean()

    def mean_excess(self, value: float) -> float | None:
        """Return by how much values above a given one exceed it on average; None without any."""
        weight = value_sum = 0.0
        for bucket in range(self._bucket(value), BUCKETS):
            if self._weights[bucket] and self._sums[bucket] > value * self._weights[bucket]:
                weight += self._weights[bucket]
                value_sum += self._sums[bucket]
        return value_sum / weight - value if weight else None

    def _add_weighted(self, value: float, weight: float) -> None:
        self._weight += weight
        self._sum += weight * value
        bucket = self._bucket(value)
        self._weights[bucket] += weight
        self._sums[bucket] += weight * value

    def _bucket(self, value: float) -> int:
        if value <= self.lowest:
            return 0
        return min(BUCKETS - 1, int(BUCKETS_PER_DOUBLING * math.log2(value / self.lowest)))

    def _scale(self, factor: float) -> None:
        self._weight *= factor
        self._sum *= factor
        self._weights = [weight * factor for weight in self._weights]
        self._sums = [value_sum * factor for value_sum in self._sums]
