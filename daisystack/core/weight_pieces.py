"""Describe the weights of a version as pieces and assign the pieces to entries."""

from __future__ import annotations

import re
from collections.abc import Sequence

from attrs import define, field, frozen

from daisystack.core.digests import digest_bytes
from daisystack.core.membership import rank_contacts

__all__ = [
    "EngineState",
    "HolderPlan",
    "ListReads",
    "MAX_ORIGIN_CONNECTIONS",
    "PieceCache",
    "PieceList",
    "piece_matches",
    "members_by_zone",
]

# Connections that one gateway opens to the origin: one for lists, the others for pieces.
MAX_ORIGIN_CONNECTIONS = 4

FINGERPRINT_DIGITS = 16

_DIGEST = re.compile(r"[0-9a-f]{64}")


@frozen
class PieceList:
    """SHA-256 digests of the pieces of a version, in order."""

    model: str
    version: int
    digests: tuple[str, ...]

    def __attrs_post_init__(self) -> None:
        malformed = [d for d in self.digests if not _DIGEST.fullmatch(d)]
        if malformed or not self.digests:
            raise ValueError(f"got digests {malformed[:3]}, allowed are 64 lower-case hex digits")

    @property
    def fingerprint(self) -> str:
        """Return what tells lists of one version apart."""
        return digest_bytes("".join(self.digests).encode())[:FINGERPRINT_DIGITS]


@define
class ListReads:
    """Reads of one list from a source that may corrupt any of them."""

    _seen: set[PieceList] = field(factory=set)

    def agree_on(self, pieces: PieceList) -> bool:
        """Add a read and return whether an earlier one was equal."""
        if pieces in self._seen:
            return True
        self._seen.add(pieces)
        return False


def piece_matches(pieces: PieceList, index: int, body: bytes | None) -> bool:
    """Return whether bytes match the digest of the piece at an index; None matches no piece."""
    return body is not None and digest_bytes(body) == pieces.digests[index]


@frozen
class EngineState:
    """State that an engine reports to the weight agent on its machine.

    version is that of the weights it holds completely, 0 for none. order_count grows with each
    order that the engine has begun, and restarts with each incarnation.
    """

    model: str
    version: int
    is_busy: bool
    order_count: int
    running: int
    queued: int
    started_ms: int
    # How many times as long as in its profile the engine takes.
    slowdown: float = 1.0


@frozen
class HolderPlan:
    """Assignment of pieces to entries: each zone holds one copy, and the origin sends only one.

    zones maps an availability zone to its entries in an order that all processes agree on. Only
    the gateways of a zone connect to the origin, so that all entries together stay within its
    max_connections; 0 means no limit.
    """

    origin_zone: str
    zones: dict[str, tuple[str, ...]]
    max_connections: int = 0

    def holder(self, zone: str, index: int) -> str | None:
        """Return the entry of a zone that holds a piece, or None when the zone has no entries."""
        entries = self.zones.get(zone, ())
        return entries[index % len(entries)] if entries else None

    def nearest_holder(self, zone: str, index: int) -> str | None:
        """Return the entry that holds a piece for a zone, in another zone if it has no entries."""
        nearest = [zone, *sorted(self.zones)]
        return next((h for z in nearest if (h := self.holder(z, index)) is not None), None)

    def fetcher(self, index: int) -> str | None:
        """Return the entry that pulls a piece from the origin, preferably in the origin's zone."""
        for zone in (self.origin_zone, *sorted(self.zones)):
            gateways = self.gateways(zone)
            if gateways:
                return gateways[index % len(gateways)]
        return None

    def gateways(self, zone: str) -> tuple[str, ...]:
        """Return the entries of a zone that may connect to the origin."""
        entries = self.zones.get(zone, ())
        count = self._gateway_count(zone)
        return entries if len(entries) <= count else tuple(rank_contacts(entries)[:count])

    def _gateway_count(self, zone: str) -> int:
        if not self.max_connections:
            return len(self.zones.get(zone, ()))
        # Half of the connections for the origin's zone, the rest for the others to fall back on.
        half = self.max_connections // (2 * MAX_ORIGIN_CONNECTIONS)
        share = half if zone == self.origin_zone else half // max(1, len(self.zones) - 1)
        return max(1, share)

    def pieces_held_by(self, own_id: str, zone: str, count: int) -> list[int]:
        """Return the pieces that an entry holds for its zone."""
        return [index for index in range(count) if self.holder(zone, index) == own_id]


@define
class PieceCache:
    """Cache verified pieces of the newest versions by digest."""

    max_versions: int = 2
    lists: dict[tuple[str, int], PieceList] = field(factory=dict)
    _bodies: dict[str, bytes] = field(factory=dict)

    def add_list(self, pieces: PieceList) -> None:
        """Add a version; evict the oldest ones of its model over max_versions with their pieces."""
        self.lists[(pieces.model, pieces.version)] = pieces
        versions = sorted(v for m, v in self.lists if m == pieces.model)
        for version in versions[: -self.max_versions]:
            del self.lists[(pieces.model, version)]
        listed = {digest for known in self.lists.values() for digest in known.digests}
        self._bodies = {d: body for d, body in self._bodies.items() if d in listed}

    def get(self, digest: str) -> bytes | None:
        """Return the bytes of a piece, or None when it is not held."""
        return self._bodies.get(digest)

    def put(self, pieces: PieceList, index: int, body: bytes) -> bool:
        """Store a piece if its digest matches; return whether it did."""
        if not piece_matches(pieces, index, body):
            return False
        self._bodies[pieces.digests[index]] = body
        return True

    @property
    def held_bytes(self) -> int:
        """Return the total size of the cached pieces."""
        return sum(map(len, self._bodies.values()))


def members_by_zone(members: Sequence[tuple[str, str]]) -> dict[str, tuple[str, ...]]:
    """Group pairs of id and zone by zone, with sorted ids."""
    zones: dict[str, list[str]] = {}
    for member_id, zone in sorted(members):
        zones.setdefault(zone, []).append(member_id)
    return {zone: tuple(ids) for zone, ids in zones.items()}
