"""Track the other processes of the system from their gossiped updates."""

from __future__ import annotations

import enum
import hashlib
from collections.abc import Collection, Iterable
from operator import attrgetter

from attrs import define, field, frozen

from daisystack.core.rendezvous import hash_to_unit_interval, rank_members

__all__ = [
    "Heartbeat",
    "Member",
    "MemberRole",
    "Membership",
    "rank_contacts",
    "state_digest",
    "usable_entries",
]

# Three heartbeats lost in a row, at the longest interval between two of them.
SUSPECT_AFTER_S = 1.6
# A heartbeat takes up to three gossip rounds through a zone of more than MAX_DIRECT_PEERS entries,
# and as many again from another zone.
SUSPECT_AFTER_LARGE_ZONE_S = 2.0
SUSPECT_AFTER_REMOTE_S = 3.2
# In a zone with at most this many other entries, each hears from each other one every round or two.
MAX_DIRECT_PEERS = 4
# In a large zone the next exchange with a process may take long, so one that others hear from is
# tried again after this time.
UNREACHABLE_FOR_S = 3.0
FORGET_AFTER_S = 30.0
# Entries of a zone that are made known to other zones: enough for callers and for transfers when a
# few of them are lost.
CONTACTS_PER_ZONE = 6
CONTACT_DUTY = "contact"
DIGEST_BYTES = 8
# All that a member reports except its beat.
_reported_state = attrgetter(
    "id",
    "incarnation",
    "role",
    "peer_address",
    "caller_address",
    "news_address",
    "zone",
    "region",
    "is_ready",
    "is_leaving",
)


class MemberRole(enum.Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"


@frozen
class Member:
    """State that a process reports about itself; beat increases during an incarnation."""

    id: str
    incarnation: str
    role: MemberRole
    peer_address: str
    caller_address: str
    # Receives datagrams; empty for a process that receives none.
    news_address: str
    zone: str
    region: str
    is_ready: bool = False
    is_leaving: bool = False
    beat: int = 0


# Not frozen, which would take three times as long to make: each message carries many.
@define
class Heartbeat:
    """Sign of life of the member whose state has a digest, sent age_s ago."""

    digest: int
    beat: int
    age_s: float


@frozen
class _ZoneSize:
    entries: int
    counted_s: float


@frozen
class _SuspicionTimes:
    own_zone_s: float
    other_zones_s: float


@define
class _MemberRecord:
    member: Member
    beat: int
    digest: int
    # Orders the entries of a zone as its contacts for other zones.
    contact_rank: float
    last_heartbeat_s: float
    # When the latest request from this process went unanswered, whatever its peers report.
    unreachable_since_s: float | None = None


@define
class Membership:
    """Keep the latest update of each process and the time at which it was sent.

    All entries of the own zone are known, and CONTACTS_PER_ZONE or a few more of each other zone.
    """

    own_id: str
    own_zone: str = ""
    _records: dict[str, _MemberRecord] = field(factory=dict)
    _ids_by_digest: dict[int, str] = field(factory=dict)
    _zone_sizes: dict[str, _ZoneSize] = field(factory=dict)

    def apply_update(self, member: Member, age_s: float, now_s: float) -> None:
        """Apply an update, received directly or through a peer; ignore it unless it is newer.

        An update that came through a peer does not show that its sender is reachable from here.
        """
        if member.id == self.own_id:
            return
        record = self._records.get(member.id)
        sent_s = now_s - age_s
        if record is not None and not _is_newer(member, record, sent_s):
            return
        if record is not None and _reported_state(record.member) == _reported_state(member):
            record.member = member
            record.beat = member.beat
            record.last_heartbeat_s = sent_s
            return
        is_same_incarnation = record is not None and record.member.incarnation == member.incarnation
        unreachable_since_s = record.unreachable_since_s if is_same_incarnation else None
        if record is not None:
            self._ids_by_digest.pop(record.digest, None)
        digest = state_digest(member)
        contact_rank = hash_to_unit_interval(CONTACT_DUTY, member.id)
        self._ids_by_digest[digest] = member.id
        self._records[member.id] = _MemberRecord(
            member, member.beat, digest, contact_rank, sent_s, unreachable_since_s
        )

    def apply_heartbeats(self, heartbeats: Iterable[Heartbeat], now_s: float) -> None:
        """Apply heartbeats of members that are known here in the same state."""
        for heartbeat in heartbeats:
            record = self._records.get(self._ids_by_digest.get(heartbeat.digest, ""))
            if record is None:
                continue
            if heartbeat.beat > record.beat:
                record.beat = heartbeat.beat
                record.last_heartbeat_s = now_s - heartbeat.age_s

    def mark_unreachable(self, member_id: str, now_s: float) -> None:
        """Record that a process did not answer a request."""
        if member_id in self._records:
            self._records[member_id].unreachable_since_s = now_s

    def mark_reachable(self, member_id: str) -> None:
        """Record that a process answered a request or sent one."""
        if member_id in self._records:
            self._records[member_id].unreachable_since_s = None

    def shift_times(self, gap_s: float) -> None:
        """Shift all times by a pause of this process, in which no update could be received."""
        for record in self._records.values():
            record.last_heartbeat_s += gap_s

    def members(self, role: MemberRole) -> list[Member]:
        """Return all processes of a role that have not been forgotten."""
        return [record.member for record in self._records.values() if record.member.role is role]

    def live(self, role: MemberRole, now_s: float) -> list[Member]:
        """Return the processes of a role that are neither suspected nor unreachable."""
        times = self._suspicion_times()
        return [
            r.member
            for r in self._records.values()
            if r.member.role is role and self._is_live(r, times, now_s)
        ]

    def zone_ranking(self, duty: str, now_s: float) -> list[str]:
        """Rank this entry and the live ones of its zone for a duty that only a few perform."""
        live = self.live(MemberRole.ENTRY, now_s)
        in_zone = [member.id for member in live if member.zone == self.own_zone]
        return rank_members(f"{duty}/{self.own_zone}", [self.own_id, *in_zone])

    def ready_ranking(self, own: Member, duty: str, now_s: float) -> list[str]:
        """Rank the live entries of the own zone that accept requests, this one included."""
        live = self.live(MemberRole.ENTRY, now_s)
        ready = [
            m.id for m in (own, *live) if m.zone == own.zone and m.is_ready and not m.is_leaving
        ]
        return rank_members(duty, ready)

    def gossip_scope(self, peer_zone: str, now_s: float) -> list[tuple[Member, Heartbeat]]:
        """Return the entries that a peer of a zone should know, each with its heartbeat.

        A peer of the own zone gets all of the zone and the contacts of other zones; any other
        peer gets the contacts of each zone. Agents are left out: no process calls them.
        """
        self._forget_lost(now_s)
        times = self._suspicion_times()
        scope = []
        for zone, records in self._records_by_zone().items():
            if zone != self.own_zone or peer_zone != self.own_zone:
                records = self._contacts(records, times, now_s)
            scope += [
                (r.member, Heartbeat(r.digest, r.beat, now_s - r.last_heartbeat_s)) for r in records
            ]
        return scope

    def zone_sizes(self, now_s: float) -> dict[str, tuple[int, float]]:
        """Return the number of entries of each zone and the age of that count in seconds."""
        sizes = {
            zone: (size.entries, now_s - size.counted_s)
            for zone, size in self._zone_sizes.items()
            if now_s - size.counted_s <= FORGET_AFTER_S
        }
        return sizes | {self.own_zone: (1 + self._count_own_zone(), 0.0)}

    def apply_zone_size(self, zone: str, entries: int, age_s: float, now_s: float) -> None:
        """Record the size of another zone unless a more recent count is known."""
        known = self._zone_sizes.get(zone)
        counted_s = now_s - age_s
        if zone != self.own_zone and (known is None or counted_s > known.counted_s):
            self._zone_sizes[zone] = _ZoneSize(entries, counted_s)

    def entry_count(self, now_s: float) -> int:
        """Return the number of entries in all zones, this one included."""
        known = {zone: len(records) for zone, records in self._records_by_zone().items()}
        known[self.own_zone] = 1 + known.get(self.own_zone, 0)
        sizes = self.zone_sizes(now_s)
        return sum(
            max(sizes[zone][0] if zone in sizes else 0, known.get(zone, 0))
            for zone in {*sizes, *known}
        )

    def _is_live(self, record: _MemberRecord, times: _SuspicionTimes, now_s: float) -> bool:
        is_own_zone = record.member.zone == self.own_zone
        suspect_after_s = times.own_zone_s if is_own_zone else times.other_zones_s
        since_s = record.unreachable_since_s
        if since_s is not None and now_s - since_s <= UNREACHABLE_FOR_S:
            return False
        return now_s - record.last_heartbeat_s <= suspect_after_s

    def _suspicion_times(self) -> _SuspicionTimes:
        if self._count_own_zone() <= MAX_DIRECT_PEERS:
            return _SuspicionTimes(SUSPECT_AFTER_S, SUSPECT_AFTER_S)
        return _SuspicionTimes(SUSPECT_AFTER_LARGE_ZONE_S, SUSPECT_AFTER_REMOTE_S)

    def _count_own_zone(self) -> int:
        """Return the number of other entries in the own zone."""
        return sum(
            1
            for r in self._records.values()
            if r.member.zone == self.own_zone and r.member.role is MemberRole.ENTRY
        )

    def _records_by_zone(self) -> dict[str, list[_MemberRecord]]:
        by_zone: dict[str, list[_MemberRecord]] = {}
        for record in self._records.values():
            if record.member.role is MemberRole.ENTRY:
                by_zone.setdefault(record.member.zone, []).append(record)
        return by_zone

    def _contacts(
        self, records: Collection[_MemberRecord], times: _SuspicionTimes, now_s: float
    ) -> list[_MemberRecord]:
        """Return the first records of a zone by rank, live ones before others."""

        def preference(record: _MemberRecord) -> tuple[bool, float]:
            return (not self._is_live(record, times, now_s), record.contact_rank)

        return sorted(records, key=preference)[:CONTACTS_PER_ZONE]

    def _forget_lost(self, now_s: float) -> None:
        lost = [k for k, r in self._records.items() if now_s - r.last_heartbeat_s > FORGET_AFTER_S]
        for member_id in lost:
            self._ids_by_digest.pop(self._records.pop(member_id).digest, None)


def state_digest(member: Member) -> int:
    """Return a hash of all that a member reports except its beat."""
    parts = (
        member.id,
        member.incarnation,
        member.role.value,
        member.peer_address,
        member.caller_address,
        member.news_address,
        member.zone,
        member.region,
        str(member.is_ready),
        str(member.is_leaving),
    )
    joined = "\x00".join(parts).encode()
    return int.from_bytes(hashlib.blake2b(joined, digest_size=DIGEST_BYTES).digest(), "big")


def _is_newer(member: Member, record: _MemberRecord, sent_s: float) -> bool:
    if member.incarnation != record.member.incarnation:
        return sent_s > record.last_heartbeat_s
    return member.beat > record.beat


def rank_contacts(member_ids: Iterable[str]) -> list[str]:
    """Sort entries in the order in which other zones prefer them as contacts."""
    return rank_members(CONTACT_DUTY, member_ids)


def usable_entries(
    own: Member, peers: Iterable[Member], zone: str, min_in_zone: int
) -> list[Member]:
    """Return the entries for callers of a zone: those of the zone if there are enough, else all."""
    ready = [m for m in (own, *peers) if m.is_ready and not m.is_leaving]
    in_zone = [member for member in ready if member.zone == zone]
    return in_zone if len(in_zone) >= min_in_zone else ready
