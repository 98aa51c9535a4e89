"""Keep the rates that upstreams asked for, and whether each still does."""

from __future__ import annotations

import re
from collections.abc import Iterable

from attrs import define, field, frozen

from daisystack.core.upstream_pauses import Incarnation

__all__ = [
    "MAX_LIMIT_PER_S",
    "MIN_LIMIT_PER_S",
    "LimitChange",
    "LimitNews",
    "RateLimits",
    "parse_rate_limit",
]

# Some request must still show that the limit has ended.
MIN_LIMIT_PER_S = 0.05
MAX_LIMIT_PER_S = 1_000_000.0
# Older news may tell of a limit whose end the receiver has forgotten.
MAX_NEWS_AGE_S = 60.0
FORGET_AFTER_S = 600.0
MAX_RECORDS = 256

_PER_S = re.compile(r"\d{1,6}(\.\d{1,9})?")


def parse_rate_limit(text: str) -> float:
    """Return requests per second, at least MIN_LIMIT_PER_S; raise ValueError."""
    if not _PER_S.fullmatch(text.strip()):
        raise ValueError(f"got {text[:40]!r}, allowed is one decimal number below 1000000")
    return max(MIN_LIMIT_PER_S, float(text))


@frozen
class LimitNews:
    """What an entry knows of one limit; ages are infinite for what was never seen.

    The upstream has named the limit since first_age_s, last named_age_s ago. A request that was
    sent absent_age_s ago had an answer without a limit.
    """

    upstream_id: str
    started_ms: int
    limit_per_s: float
    first_age_s: float
    named_age_s: float
    absent_age_s: float = float("inf")


@frozen
class LimitChange:
    """A limit that was learned, changed or ended; None is no limit."""

    upstream_id: str
    started_ms: int
    before_per_s: float | None
    after_per_s: float | None


@define
class _Record:
    limit_per_s: float
    first_named_s: float
    named_s: float
    absent_s: float = float("-inf")

    @property
    def in_force_per_s(self) -> float | None:
        return self.limit_per_s if self.named_s >= self.absent_s else None

    @property
    def newest_s(self) -> float:
        return max(self.named_s, self.absent_s)


@define
class RateLimits:
    """The limits that incarnations of upstreams named for the requests of all entries together.

    A limit ends by an answer that lacks it, to a request that was sent after it was last named.
    """

    _records: dict[Incarnation, _Record] = field(factory=dict)

    def record_named(
        self, upstream_id: str, started_ms: int, limit_per_s: float, now_s: float
    ) -> LimitChange | None:
        """Record that an answer named a limit; return what changed."""
        named = LimitNews(upstream_id, started_ms, limit_per_s, 0.0, 0.0)
        return self._merge(named, now_s)

    def record_absent(self, upstream_id: str, started_ms: int, sent_s: float) -> LimitChange | None:
        """Record that the answer to a request sent then named no limit; return what changed."""
        record = self._records.get((upstream_id, started_ms))
        if record is None:
            return None
        before = record.in_force_per_s
        record.absent_s = max(record.absent_s, sent_s)
        return _compare(upstream_id, started_ms, before, record)

    def limit_per_s(self, upstream_id: str, started_ms: int) -> float | None:
        """Return the limit in force, None without one."""
        record = self._records.get((upstream_id, started_ms))
        return record.in_force_per_s if record is not None else None

    def first_named_s(self, upstream_id: str, started_ms: int) -> float:
        """Return since when the limit in force has been named by each answer."""
        return self._records[upstream_id, started_ms].first_named_s

    @property
    def is_empty(self) -> bool:
        """Return whether no limit was ever named, as far as is remembered."""
        return not self._records

    def limited(self) -> dict[Incarnation, float]:
        """Return the limits in force."""
        known = {key: record.in_force_per_s for key, record in self._records.items()}
        return {key: limit for key, limit in known.items() if limit is not None}

    def report(self, now_s: float) -> tuple[LimitNews, ...]:
        """Return what other entries should know."""
        return tuple(
            LimitNews(
                upstream_id,
                started_ms,
                record.limit_per_s,
                now_s - record.first_named_s,
                now_s - record.named_s,
                now_s - record.absent_s,
            )
            for (upstream_id, started_ms), record in self._records.items()
            if now_s - record.newest_s <= MAX_NEWS_AGE_S
        )

    def merge(self, reported: Iterable[LimitNews], now_s: float) -> list[LimitChange]:
        """Add what another entry knows; return what changed."""
        recent = [n for n in reported if min(n.named_age_s, n.absent_age_s) <= MAX_NEWS_AGE_S]
        changes = (self._merge(news, now_s) for news in recent)
        return [change for change in changes if change is not None]

    def _merge(self, news: LimitNews, now_s: float) -> LimitChange | None:
        key = (news.upstream_id, news.started_ms)
        named_s, first_s = now_s - news.named_age_s, now_s - news.first_age_s
        record = self._records.get(key)
        before = record.in_force_per_s if record is not None else None
        if record is None:
            self._forget_old(now_s)
            record = _Record(news.limit_per_s, first_s, named_s)
            self._records[key] = record
        elif named_s > record.named_s:
            has_ended = record.in_force_per_s is None
            record.limit_per_s, record.named_s = news.limit_per_s, named_s
            if has_ended and named_s >= record.absent_s:
                record.first_named_s = max(first_s, record.absent_s)
        record.absent_s = max(record.absent_s, now_s - news.absent_age_s)
        return _compare(*key, before, record)

    def _forget_old(self, now_s: float) -> None:
        newest_first = sorted(self._records.items(), key=lambda kv: kv[1].newest_s, reverse=True)
        self._records = {
            key: record
            for key, record in newest_first[: MAX_RECORDS - 1]
            if now_s - record.newest_s <= FORGET_AFTER_S
        }


def _compare(
    upstream_id: str, started_ms: int, before_per_s: float | None, record: _Record
) -> LimitChange | None:
    after_per_s = record.in_force_per_s
    if after_per_s == before_per_s:
        return None
    return LimitChange(upstream_id, started_ms, before_per_s, after_per_s)
