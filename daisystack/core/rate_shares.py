"""Share the rate limits of upstreams among all entries, and count what this entry sends.

A few entries of a zone hold the whole of an upstream's limit, by their rank, so that no messages
are needed to count. Views of the ranking differ for a while after each change; an entry uses a
larger share only after it has held it for a window.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from attrs import define, field, frozen

from daisystack.core.dealing import SlidingQuota, deal, sharing_zones
from daisystack.core.rate_limits import RateLimits
from daisystack.core.rendezvous import rank_members
from daisystack.core.upstream_pauses import Incarnation

__all__ = ["WINDOW_S", "LimitedUpstream", "RateShares", "ZoneView", "compute_rate_per_s"]

WINDOW_S = 4.0
# In a quarter of the window, an entry sends a quarter of what it may send in all of it.
BURST_SHARE = 0.25
# Without a refresh for this long, this process was paused, and its view of the others is old.
MAX_REFRESH_GAP_S = 1.2
# All entries have heard of a new limit by then.
SPREAD_S = 2.0
# Entries that disagree whether a peer lives must not both be half of a zone.
MIN_LIVE_SHARE = 0.5
MAX_RETURN_S = 60.0
# Rounding errors must not cost a request of a window.
ROUNDING = 1e-9
FORGET_SENT_S = 120.0


@frozen
class LimitedUpstream:
    """An upstream with a limit, and the zones that have an upstream of its service."""

    id: str
    zone: str
    limit_per_s: float
    served_zones: frozenset[str]


@frozen
class ZoneView:
    """The entries of the own zone: how many are known, and the live ones in order of rank."""

    known: int
    ranked: tuple[str, ...]


def compute_rate_per_s(
    upstream: LimitedUpstream,
    entries_by_zone: Mapping[str, int],
    own_zone: str,
    own_id: str,
    view: ZoneView,
) -> float:
    """Return this entry's part of a limit.

    A limit is dealt out as whole requests of a window, first to zones and then to the entries of
    each zone in order of rank, so that the parts add up to the limit.
    """
    if len(view.ranked) < view.known * MIN_LIVE_SHARE:
        return 0.0
    weights = sharing_zones(upstream.id, upstream.zone, upstream.served_zones, entries_by_zone)
    zones = rank_members(upstream.id, weights)
    requests = math.floor(upstream.limit_per_s * WINDOW_S + ROUNDING)
    if requests == 0:
        # Less than one request in a window can't be shared.
        is_only = zones[:1] == [own_zone] and view.ranked[:1] == (own_id,)
        return upstream.limit_per_s if is_only else 0.0
    in_zone = deal(requests, weights, zones).get(own_zone, 0)
    # The part of entries that are known but not live is left unused.
    places = {str(rank): 1 for rank in range(view.known)}
    by_rank = list(deal(in_zone, places, list(places)).values())
    return dict(zip(view.ranked, by_rank, strict=False)).get(own_id, 0) / WINDOW_S


def _window_s(rate_per_s: float) -> float:
    return max(WINDOW_S, 1.0 / rate_per_s) if rate_per_s > 0 else WINDOW_S


def _quotas(rate_per_s: float) -> tuple[SlidingQuota, SlidingQuota]:
    window_s = _window_s(rate_per_s)
    count = max(1, math.floor(rate_per_s * window_s + ROUNDING))
    return SlidingQuota(count, window_s), SlidingQuota(
        math.ceil(count * BURST_SHARE), window_s * BURST_SHARE
    )


@frozen
class _HeldRate:
    since_s: float
    rate_per_s: float


@define
class _Share:
    # Rates of the last window, oldest first.
    rates: deque[_HeldRate] = field(factory=deque)
    reserved: int = 0

    def record_rate(self, rate_per_s: float, now_s: float) -> None:
        """Record the rate that this entry holds from now on."""
        if not self.rates or self.rates[-1].rate_per_s != rate_per_s:
            self.rates.append(_HeldRate(now_s, rate_per_s))
        window_s = _window_s(rate_per_s)
        while len(self.rates) > 1 and self.rates[1].since_s <= now_s - window_s:
            self.rates.popleft()

    def usable_per_s(self) -> float:
        """Return the lowest rate of the last window."""
        return min((held.rate_per_s for held in self.rates), default=0.0)

    def usable_from_s(self) -> float:
        """Return when the present rate has been held for a window; infinity without a rate."""
        if not self.rates or self.rates[-1].rate_per_s <= 0:
            return float("inf")
        return self.rates[-1].since_s + _window_s(self.rates[-1].rate_per_s)


@define
class RateShares:
    """What this entry may send to upstreams with a limit, and what it has sent."""

    limits: RateLimits = field(factory=RateLimits)
    _shares: dict[Incarnation, _Share] = field(factory=dict)
    # When requests were sent to each upstream, with or without a limit.
    _sent_s: dict[Incarnation, deque[float]] = field(factory=dict)
    _refreshed_s: float = float("-inf")
    _steady_since_s: float = float("inf")
    _entries: int = 1
    # Until when callers have been told to come back, by service.
    _returns_until_s: dict[str, float] = field(factory=dict)

    def refresh(
        self, rate_for: Callable[[Incarnation, float], float], entries: int, now_s: float
    ) -> None:
        """Take the rate that this entry holds now of each limit, and the number of entries."""
        if now_s - self._refreshed_s > MAX_REFRESH_GAP_S:
            self._steady_since_s = now_s
            self._shares = {
                key: _Share(reserved=share.reserved) for key, share in self._shares.items()
            }
        self._refreshed_s = now_s
        self._entries = max(1, entries)
        limited = self.limits.limited()
        for key, limit_per_s in limited.items():
            self._record_rate(key, rate_for(key, limit_per_s), now_s)
        self._shares = {
            key: share for key, share in self._shares.items() if key in limited or share.reserved
        }
        self._forget_sent(now_s)

    def _record_rate(self, key: Incarnation, rate_per_s: float, now_s: float) -> None:
        share = self._shares.setdefault(key, _Share())
        if not share.rates and not self._is_first_split(key, now_s):
            # Another entry may have used this share until now.
            share.record_rate(0.0, now_s)
        share.record_rate(rate_per_s, now_s)

    def _is_first_split(self, key: Incarnation, now_s: float) -> bool:
        """Return whether no entry can have held a share of a limit before this one."""
        is_new = now_s - self.limits.first_named_s(*key) <= SPREAD_S
        return is_new and now_s - self._steady_since_s >= WINDOW_S

    def free_at_s(self, key: Incarnation, now_s: float) -> float:
        """Return when this entry may send the next request; infinity if it has no share."""
        share = self._shares.get(key)
        return self._free_at_s(key, share.reserved if share else 0, now_s)

    def _free_at_s(self, key: Incarnation, reserved: int, now_s: float) -> float:
        if self.limits.limit_per_s(*key) is None:
            return now_s
        share = self._shares.get(key)
        if share is None or now_s - self._refreshed_s > MAX_REFRESH_GAP_S:
            return float("inf")
        rate_per_s = share.usable_per_s()
        if rate_per_s <= 0:
            return max(now_s + WINDOW_S * BURST_SHARE, share.usable_from_s())
        sent_s = self._sent_s.get(key, ())
        return max(
            quota.free_at_s(sent_s, reserved, WINDOW_S, now_s) for quota in _quotas(rate_per_s)
        )

    def may_send(self, key: Incarnation, now_s: float) -> bool:
        """Return whether a request may be sent now, beside those that are reserved."""
        return self.free_at_s(key, now_s) <= now_s

    def reserve(self, key: Incarnation) -> bool:
        """Reserve a request that is about to be sent; return False if there is no limit."""
        if self.limits.limit_per_s(*key) is None:
            return False
        self._shares.setdefault(key, _Share()).reserved += 1
        return True

    def release(self, key: Incarnation) -> None:
        """Give back a reserved request."""
        share = self._shares.get(key)
        if share is not None and share.reserved:
            share.reserved -= 1

    def take(self, key: Incarnation, now_s: float) -> bool:
        """Count a request that is sent now; return False if it must not be."""
        # Other reserved requests are counted when they are sent.
        if self._free_at_s(key, 0, now_s) > now_s:
            return False
        self._sent_s.setdefault(key, deque()).append(now_s)
        return True

    def plan_return_s(self, service: str, keys: Iterable[Incarnation], now_s: float) -> float:
        """Return after how long the next refused caller of a service should come back.

        Callers of all entries return at about the rate of the upstreams' limits together.
        """
        limits = [self.limits.limit_per_s(*key) or 0.0 for key in keys]
        interval_s = self._entries / max(sum(limits), 1.0 / MAX_RETURN_S)
        slot_s = max(now_s, self._returns_until_s.get(service, now_s)) + interval_s
        slot_s = min(slot_s, now_s + MAX_RETURN_S)
        self._returns_until_s[service] = slot_s
        return slot_s - now_s

    def _forget_sent(self, now_s: float) -> None:
        for key in list(self._sent_s):
            sent_s = self._sent_s[key]
            kept_s = FORGET_SENT_S if key in self._shares else WINDOW_S
            while sent_s and sent_s[0] <= now_s - kept_s:
                sent_s.popleft()
            if not sent_s:
                del self._sent_s[key]
