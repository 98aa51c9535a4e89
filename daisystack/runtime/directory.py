"""Answer callers who ask at which entries to connect."""

from __future__ import annotations

import logging
from collections.abc import Callable

from attrs import define, field

from daisystack.core.homes import HostHomes, find_host_homes, list_entries_in_homes
from daisystack.core.log_rate_limit import LogRateLimiter
from daisystack.core.membership import Member, usable_entries
from daisystack.core.placement.places import Places
from daisystack.core.traffic import TrafficPolicy
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import DirectoryOutsideHomes
from daisystack.runtime.logs import log_event

__all__ = ["Directory"]

# With two entries in a zone, one can fail and callers still find another in their zone.
MIN_ZONE_ENTRIES = 2
OUTSIDE_LINES_PER_S = 0.2
OUTSIDE_BURST_LINES = 3.0

_logger = logging.getLogger("daisystack.entry")


def _build_limiter() -> LogRateLimiter:
    return LogRateLimiter(OUTSIDE_LINES_PER_S, OUTSIDE_BURST_LINES)


@define(eq=False)
class Directory:
    """Choose the entries that callers of a host should use, by their zone and region."""

    own: Callable[[], Member]
    live_entries: Callable[[float], list[Member]]
    policy: Callable[[], TrafficPolicy | None]
    places: Places
    answers_outside: int = 0
    _line_limiter: LogRateLimiter = field(factory=_build_limiter)

    def addresses_for(self, zone: str, host: str, region: str) -> list[str]:
        """Return the addresses for a caller; the region of its zone is used if it states none."""
        policy = self.policy()
        homes = find_host_homes(policy, host.lower()) if policy else None
        peers = self.live_entries(now_s())
        if homes is None:
            usable = usable_entries(self.own(), peers, zone, MIN_ZONE_ENTRIES)
            return [member.caller_address for member in usable]
        region = region or self.places.region_by_zone.get(zone, "")
        answer = list_entries_in_homes(self.own(), peers, zone, region, homes, MIN_ZONE_ENTRIES)
        if answer.is_outside:
            self._record_outside(host, zone, region, homes, len(answer.entries))
        return [member.caller_address for member in answer.entries]

    def _record_outside(
        self, host: str, zone: str, region: str, homes: HostHomes, entries: int
    ) -> None:
        self.answers_outside += 1
        if self._line_limiter.try_consume(now_s()):
            named = ",".join(sorted(homes.common | homes.routes))
            log_event(_logger, DirectoryOutsideHomes(host, zone, region, named, entries))
