"""Fetch the lists of a version's pieces, and replace one that turns out to be wrong."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.backends import BackendError, WeightOrigin
from daisystack.core.membership import Member
from daisystack.core.targets import Targets
from daisystack.core.weight_pieces import HolderPlan, ListReads, PieceCache, PieceList
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import ListReadsDiffer, PieceListReplaced, WeightSourceFailed
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink

__all__ = ["RECHECK_INTERVAL_S", "PieceListTask"]

MS_PER_S = 1000
# Two equal reads and one that may be corrupt.
MAX_ORIGIN_READS = 3
# Longest wait for the list of another entry.
PEER_WAIT_S = 0.8
PEER_TIMEOUT_S = 1.5
RETRY_S = 0.2
# Pause between two checks of one list against its source.
RECHECK_INTERVAL_S = 1.0

_logger = logging.getLogger("daisystack.pieces")


@define(eq=False)
class PieceListTask:
    """Keep the lists of pieces known to this entry.

    A list that the origin sent counts once two reads agree, as any answer of the origin may be
    corrupt. One whose pieces can't be verified is checked against its source, and stays in use
    until a different one is found.
    """

    own_member: Callable[[], Member]
    build_plan: Callable[[], HolderPlan]
    find_member: Callable[[str | None], Member | None]
    find_origin: Callable[[], tuple[WeightOrigin, str] | None]
    targets: Targets
    open_link: Callable[[str, float], PeerLink]
    cache: PieceCache
    origin_calls: int = 0
    _fetching: set[tuple[str, int]] = field(factory=set)
    _checking: set[tuple[str, int]] = field(factory=set)
    _check_due_s: dict[tuple[str, int], float] = field(factory=dict)

    def get(self, model: str, version: int) -> PieceList | None:
        """Return the list of a version, or None if it is not known."""
        return self.cache.lists.get((model, version))

    def start_fetch(self, model: str, version: int) -> None:
        """Start to fetch a list unless that is in progress."""
        if (model, version) not in self._fetching:
            eventlet.spawn(self.fetch, model, version)

    def fetch(self, model: str, version: int) -> PieceList | None:
        """Return the list of a version, None if a newer version is wanted meanwhile."""
        key = (model, version)
        if key in self.cache.lists:
            return self.cache.lists[key]
        self._fetching.add(key)
        try:
            while key not in self.cache.lists:
                pieces = self._read_from_peers(model, version) or self._read_from_origin(*key)
                if pieces is not None:
                    self.cache.add_list(pieces)
                elif version < self.targets.version(model):
                    return None
                else:
                    eventlet.sleep(RETRY_S)
            return self.cache.lists[key]
        finally:
            self._fetching.discard(key)

    def start_check(self, pieces: PieceList) -> None:
        """Start to check a list that pieces don't match, unless it was checked just now."""
        key = (pieces.model, pieces.version)
        is_due = now_s() >= self._check_due_s.get(key, float("-inf"))
        if is_due and key not in self._checking and self.cache.lists.get(key) == pieces:
            self._checking.add(key)
            eventlet.spawn(self._check, pieces)

    def check_rejected(self, model: str, version: int, fingerprint: str | None) -> None:
        """Check the held list if it is the one that a peer has found to be wrong."""
        held = self.get(model, version)
        if held is not None and held.fingerprint == fingerprint:
            self.start_check(held)

    def _check(self, pieces: PieceList) -> None:
        key = (pieces.model, pieces.version)
        try:
            # Peers may have the same wrong list, or one that differs because it is wrong itself.
            if self.may_use_origin:
                found = self._read_from_origin(*key)
            else:
                found = self._read_from_peers(*key, rejected=pieces.fingerprint)
            if found is not None and found != pieces and self.cache.lists.get(key) == pieces:
                self.cache.add_list(found)
                log_event(_logger, PieceListReplaced(*key, pieces.fingerprint, found.fingerprint))
        finally:
            self._checking.discard(key)
            self._check_due_s[key] = now_s() + RECHECK_INTERVAL_S

    def _read_from_peers(self, model: str, version: int, rejected: str = "") -> PieceList | None:
        for source in self._sources():
            link = self.open_link(source.peer_address, PEER_TIMEOUT_S)
            try:
                wait_ms = int(PEER_WAIT_S * MS_PER_S)
                digests = link.call("digests", model, version, wait_ms, rejected)
                pieces = PieceList(model, version, tuple(digests)) if digests else None
            except (PeerError, ValueError) as error:
                log_event(_logger, WeightSourceFailed(source.id, str(error)))
                continue
            finally:
                link.close()
            if pieces is not None and pieces.fingerprint != rejected:
                return pieces
        return None

    def _sources(self) -> list[Member]:
        """Return the entries to query for a list, so that one a zone queries another zone.

        The entry that holds the zone's first piece queries the fetcher, all others query it.
        """
        plan, own = self.build_plan(), self.own_member()
        holder, fetcher = plan.holder(own.zone, 0), plan.fetcher(0)
        gateways = plan.gateways(own.zone)
        if own.id == fetcher:
            return []
        if own.id in gateways:
            ids = [fetcher]
        else:
            ids = [fetcher if own.id == holder else holder, gateways[0]]
        found = (self.find_member(member_id) for member_id in dict.fromkeys(ids))
        return [member for member in found if member is not None]

    @property
    def may_use_origin(self) -> bool:
        """Return whether this entry may connect to the origin."""
        own = self.own_member()
        return own.id in self.build_plan().gateways(own.zone)

    def _read_from_origin(self, model: str, version: int) -> PieceList | None:
        """Return the list that two reads of the origin agree on, None on any failure."""
        origin_and_zone = self.find_origin()
        if origin_and_zone is None or not self.may_use_origin:
            return None
        reads = ListReads()
        for _ in range(MAX_ORIGIN_READS):
            self.origin_calls += 1
            try:
                pieces = origin_and_zone[0].piece_list(model, version)
            except BackendError as error:
                log_event(_logger, WeightSourceFailed("origin", str(error)))
                return None
            if reads.agree_on(pieces):
                return pieces
        log_event(_logger, ListReadsDiffer(model, version, MAX_ORIGIN_READS))
        return None
