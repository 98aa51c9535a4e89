"""Pull and cache an entry's share of the weights for the agents of its zone."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet
from attrs import define, field
from eventlet.semaphore import Semaphore

from daisystack.backends import BackendError, WeightOrigin
from daisystack.core.membership import Member
from daisystack.core.pull_pace import SourceBackoff, slice_pause_s
from daisystack.core.targets import Targets, WeightTarget
from daisystack.core.weight_pieces import (
    MAX_ORIGIN_CONNECTIONS,
    HolderPlan,
    PieceCache,
    PieceList,
    members_by_zone,
)
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import ChunkRejected, WeightsHeld, WeightSourceFailed
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink, mesh_link
from daisystack.runtime.piece_lists import RECHECK_INTERVAL_S, PieceListTask
from daisystack.wire.gen import ttypes

__all__ = ["PieceTask", "has_piece", "pull_piece", "pull_piece_in_slices"]

MS_PER_S = 1000
# Takes 17 ms on a link of 3.8 Mbit/s, the longest that a request waits behind one slice.
SLICE_BYTES = 8192

# Any range of a piece shows whether a peer holds it.
PROBE_BYTES = 1

MAX_ORIGIN_PULLS = MAX_ORIGIN_CONNECTIONS - 1
# Concurrent pulls from other entries: one is transferred while another waits for its piece.
MAX_PEER_PULLS = 3
# Concurrent pulls from agents, whose links carry answers too.
MAX_AGENT_PULLS = 2
# A piece takes about 30 ms on the origin's link and all of them two seconds; after
# MAX_PEER_ATTEMPTS waits without the piece, this entry pulls it from the origin too.
PEER_WAIT_S = 0.8
MAX_PEER_ATTEMPTS = 3
PEER_TIMEOUT_S = 1.5
RETRY_S = 0.2
POLL_INTERVAL_S = 0.02
# After this many corrupt bodies in a row for one piece, its digest may be wrong instead.
MAX_REJECTED = 2

_logger = logging.getLogger("daisystack.pieces")


@define(eq=False)
class PieceTask:
    """Keep the pieces held by this entry, and pull the missing ones."""

    own_member: Callable[[], Member]
    entries: Callable[[], list[Member]]
    find_origin: Callable[[], tuple[WeightOrigin, str] | None]
    targets: Targets
    on_unreachable: Callable[[str], None]
    # Returns the nearby agents whose engines serve a version and that thus have its pieces staged.
    serving_agents: Callable[[int], list[Member]] = lambda version: []
    # Returns how many connections the origin accepts from all entries together, 0 for any number.
    origin_connections: Callable[[], int] = lambda: 0
    open_link: Callable[[str, float], PeerLink] = mesh_link
    cache: PieceCache = field(factory=PieceCache)
    lists: PieceListTask = field(init=False)
    origin_bytes: int = 0
    origin_calls: int = 0
    peer_bytes: int = 0
    agent_bytes: int = 0
    _origin_backoff: SourceBackoff = field(factory=SourceBackoff)
    _pulling: set[tuple[str, int, int]] = field(factory=set)
    _agent_slots: Semaphore = field(factory=lambda: Semaphore(MAX_AGENT_PULLS))
    _peer_slots: Semaphore = field(factory=lambda: Semaphore(MAX_PEER_PULLS))
    _origin_slots: Semaphore = field(factory=lambda: Semaphore(MAX_ORIGIN_PULLS))

    def __attrs_post_init__(self) -> None:
        self.lists = PieceListTask(
            self.own_member,
            self._build_plan,
            self._find_member,
            self.find_origin,
            self.targets,
            lambda address, timeout_s: self.open_link(address, timeout_s),
            self.cache,
        )

    def start_share_pull(self, target: WeightTarget) -> None:
        """Start to pull this entry's share of a new version before agents request it.

        A version that was already in force at startup is pulled only when an agent requests it,
        as it is rarely needed.
        """
        if self.targets.age_s(target.model, now_s()) == float("inf"):
            return
        eventlet.spawn(self._pull_share, target)

    def digests(
        self, model: str, version: int, wait_s: float, rejected: str | None = None
    ) -> list[str]:
        """Return the digests of a version, fetching them for up to wait_s; else return [].

        rejected is the fingerprint of a list that the caller has found to be wrong.
        """
        self.lists.check_rejected(model, version, rejected)
        deadline_s = now_s() + wait_s
        while (pieces := self.lists.get(model, version)) is None:
            self.lists.start_fetch(model, version)
            if now_s() >= deadline_s:
                return []
            eventlet.sleep(POLL_INTERVAL_S)
        return list(pieces.digests)

    def piece(self, model: str, version: int, index: int, wait_s: float) -> bytes | None:
        """Return a piece, waiting up to wait_s for it; None if it did not arrive."""
        deadline_s = now_s() + wait_s
        while True:
            pieces = self.lists.get(model, version)
            if pieces is None:
                self.lists.start_fetch(model, version)
            elif not 0 <= index < len(pieces.digests):
                return None
            else:
                body = self.cache.get(pieces.digests[index])
                if body is not None:
                    return body
                self._start_pull(pieces, index)
            if now_s() >= deadline_s:
                return None
            eventlet.sleep(POLL_INTERVAL_S)

    def _pull_share(self, target: WeightTarget) -> None:
        started_s = now_s()
        pieces = None
        # A pull ends without its piece while the origin is down, and is started again here. The
        # list may be replaced meanwhile.
        while (listed := self.lists.fetch(target.model, target.version)) is not None:
            if listed is not pieces:
                pieces, own_indexes = listed, self._own_indexes(listed)
            missing = self._find_missing(pieces, own_indexes)
            if not missing:
                took_s = now_s() - started_s
                held = WeightsHeld(target.model, target.version, len(own_indexes), took_s)
                log_event(_logger, held)
                return
            if self.targets.version(target.model) != target.version:
                return
            for index in missing:
                self._start_pull(pieces, index)
            eventlet.sleep(POLL_INTERVAL_S)

    def _own_indexes(self, pieces: PieceList) -> list[int]:
        own = self.own_member()
        return self._build_plan().pieces_held_by(own.id, own.zone, len(pieces.digests))

    def _find_missing(self, pieces: PieceList, indexes: list[int]) -> list[int]:
        return [index for index in indexes if self.cache.get(pieces.digests[index]) is None]

    def _start_pull(self, pieces: PieceList, index: int) -> None:
        key = (pieces.model, pieces.version, index)
        if key not in self._pulling:
            self._pulling.add(key)
            eventlet.spawn(self._pull, pieces, index)

    def _pull(self, pieces: PieceList, index: int) -> None:
        try:
            if self._pull_from_agent(pieces, index):
                return
            for _ in range(MAX_PEER_ATTEMPTS):
                source = self._find_member(self._build_plan().fetcher(index))
                if source is None:
                    break
                # Pulled in order, so that agents get the first pieces while later ones are pulled.
                with self._peer_slots:
                    if self._pull_from_peer(pieces, index, source):
                        return
            if not self.lists.may_use_origin:
                self._pull_from_gateway(pieces, index)
                return
            rejected = 0
            while rejected < MAX_REJECTED:
                body = self._fetch_from_origin(pieces, index)
                if body is None:
                    return
                if self.cache.put(pieces, index, body):
                    return
                rejected += 1
                log_event(_logger, ChunkRejected("origin", f"piece {index}: digest does not match"))
            # The list itself may be corrupt.
            self.lists.start_check(pieces)
            self._wait_for_other_list(pieces)
        finally:
            self._pulling.discard((pieces.model, pieces.version, index))

    def _wait_for_other_list(self, pieces: PieceList) -> None:
        """Wait until a list is replaced, for as long as it is not checked again anyway."""
        until_s = now_s() + RECHECK_INTERVAL_S
        while now_s() < until_s and self.lists.get(pieces.model, pieces.version) is pieces:
            eventlet.sleep(POLL_INTERVAL_S)

    def _pull_from_agent(self, pieces: PieceList, index: int) -> bool:
        """Pull a piece from a nearby agent whose engine serves the version."""
        agents = self.serving_agents(pieces.version)
        if not agents:
            return False
        source = agents[index % len(agents)]
        link = self.open_link(source.peer_address, PEER_TIMEOUT_S)
        try:
            with self._agent_slots:
                body = pull_piece_in_slices(
                    link, pieces.model, pieces.version, index, 0.0, link_bytes_per_s=0.0
                )
        except PeerError as error:
            log_event(_logger, WeightSourceFailed(source.id, str(error)))
            return False
        finally:
            link.close()
        self.agent_bytes += len(body or b"")
        return body is not None and self.cache.put(pieces, index, body)

    def _pull_from_peer(self, pieces: PieceList, index: int, source: Member) -> bool:
        link = self.open_link(source.peer_address, PEER_TIMEOUT_S)
        try:
            body = pull_piece(link, pieces.model, pieces.version, index, PEER_WAIT_S)
        except PeerError as error:
            log_event(_logger, WeightSourceFailed(source.id, str(error)))
            self.on_unreachable(source.id)
            return False
        finally:
            link.close()
        self.peer_bytes += len(body or b"")
        if body is not None and not self.cache.put(pieces, index, body):
            log_event(_logger, ChunkRejected(source.id, f"piece {index}: digest does not match"))
            # The other entry has verified it with its own list.
            self.lists.start_check(pieces)
            return False
        return body is not None

    def _pull_from_gateway(self, pieces: PieceList, index: int) -> None:
        """Pull a piece that its fetcher did not send from an entry that may use the origin."""
        gateways = self._build_plan().gateways(self.own_member().zone)
        source = self._find_member(gateways[index % len(gateways)])
        if source is None:
            eventlet.sleep(RETRY_S)
            return
        with self._peer_slots:
            self._pull_from_peer(pieces, index, source)

    def _fetch_from_origin(self, pieces: PieceList, index: int) -> bytes | None:
        origin_and_zone = self.find_origin()
        if origin_and_zone is None:
            eventlet.sleep(RETRY_S)
            return None
        while True:
            # Without a slot, so that pulls of another version go on.
            eventlet.sleep(self._origin_backoff.wait_s(pieces.version, now_s()))
            with self._origin_slots:
                if self._origin_backoff.wait_s(pieces.version, now_s()) == 0.0:
                    return self._call_origin(origin_and_zone[0], pieces, index)

    def _call_origin(self, origin: WeightOrigin, pieces: PieceList, index: int) -> bytes | None:
        self.origin_calls += 1
        try:
            body = origin.piece(pieces.model, pieces.version, index)
        except BackendError as error:
            log_event(_logger, WeightSourceFailed("origin", str(error)))
            self._origin_backoff.record_failure(pieces.version, now_s())
            return None
        self._origin_backoff.record_success(pieces.version)
        self.origin_bytes += len(body)
        return body

    def _build_plan(self) -> HolderPlan:
        origin_and_zone = self.find_origin()
        members = [(m.id, m.zone) for m in (self.own_member(), *self.entries())]
        origin_zone = origin_and_zone[1] if origin_and_zone else ""
        return HolderPlan(origin_zone, members_by_zone(members), self.origin_connections())

    def _find_member(self, member_id: str | None) -> Member | None:
        """Return another live entry by its id, or None."""
        return next((m for m in self.entries() if m.id == member_id), None)


def has_piece(link: PeerLink, model: str, version: int, index: int, wait_s: float) -> bool:
    """Return whether a peer has a piece, or gets it within wait_s; raise PeerError."""
    request = ttypes.PieceAsk(model, version, index, _wait_ms(wait_s), 0, PROBE_BYTES)
    return link.call("piece", request).held


def pull_piece(link: PeerLink, model: str, version: int, index: int, wait_s: float) -> bytes | None:
    """Return a piece from a peer, unverified, or None if not held; raise PeerError."""
    answer = link.call("piece", ttypes.PieceAsk(model, version, index, _wait_ms(wait_s), 0, 0))
    return answer.body if answer.held else None


def pull_piece_in_slices(
    link: PeerLink,
    model: str,
    version: int,
    index: int,
    wait_s: float,
    link_bytes_per_s: float,
) -> bytes | None:
    """Like pull_piece, in slices that leave a slow link to other traffic; raise PeerError."""
    body = bytearray()
    while True:
        requested_s = now_s()
        request = ttypes.PieceAsk(model, version, index, _wait_ms(wait_s), len(body), SLICE_BYTES)
        answer = link.call("piece", request)
        if not answer.held:
            return None
        body += answer.body
        if len(body) >= answer.size_bytes or not answer.body:
            return bytes(body)
        took_s = now_s() - requested_s
        eventlet.sleep(slice_pause_s(len(answer.body), link_bytes_per_s, took_s))


def _wait_ms(wait_s: float) -> int:
    return int(wait_s * MS_PER_S)
