"""Know the other processes of the system by what they and their peers say."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = ["Member", "MemberRole", "Membership", "usable_entries"]

# Three heartbeats lost in a row, at the longest pause between two of them.
SUSPECT_AFTER_S = 1.6
FORGET_AFTER_S = 30.0


class MemberRole(enum.Enum):
    """Name what a process does."""

    ENTRY = "entry"
    AGENT = "agent"


@frozen
class Member:
    """Hold what a process says of itself; beat grows while it lives."""

    id: str
    incarnation: str
    role: MemberRole
    peer_address: str
    caller_address: str
    # Where it takes datagrams, empty for a process that takes none.
    news_address: str
    zone: str
    region: str
    is_ready: bool = False
    is_leaving: bool = False
    beat: int = 0


@define
class _MemberRecord:
    member: Member
    last_heartbeat_s: float
    # It did not answer the newest question from here, whatever others hear of it.
    is_unreachable: bool = False


@define
class Membership:
    """Keep the newest word of each process and how long ago it was spoken."""

    own_id: str
    _records: dict[str, _MemberRecord] = field(factory=dict)

    def apply_update(self, member: Member, age_s: float, now_s: float) -> None:
        """Take a process's word, directly or through a peer; older words change nothing.

        A word that came through a peer does not mean that its speaker can be reached from here.
        """
        if member.id == self.own_id:
            return
        record = self._records.get(member.id)
        sent_s = now_s - age_s
        if record is not None and not _is_newer(member, record, sent_s):
            return
        is_same_incarnation = record is not None and record.member.incarnation == member.incarnation
        is_unreachable = is_same_incarnation and record.is_unreachable
        self._records[member.id] = _MemberRecord(member, sent_s, is_unreachable)

    def mark_unreachable(self, member_id: str) -> None:
        """Record that a process did not answer."""
        if member_id in self._records:
            self._records[member_id].is_unreachable = True

    def mark_reachable(self, member_id: str) -> None:
        """Record that a process answered."""
        if member_id in self._records:
            self._records[member_id].is_unreachable = False

    def shift_times(self, gap_s: float) -> None:
        """Shift all times by an own pause, in which nothing could be heard."""
        for record in self._records.values():
            record.last_heartbeat_s += gap_s

    def members(self, role: MemberRole) -> list[Member]:
        """Return all processes of a role that were heard of lately."""
        return [record.member for record in self._records.values() if record.member.role is role]

    def live(self, role: MemberRole, now_s: float) -> list[Member]:
        """Return the processes of a role that are not suspected."""
        return [
            record.member
            for record in self._records.values()
            if record.member.role is role
            and now_s - record.last_heartbeat_s <= SUSPECT_AFTER_S
            and not record.is_unreachable
        ]

    def entries_to_gossip(self, now_s: float) -> list[tuple[Member, float]]:
        """Return each entry with the age of its word, and forget the long silent processes.

        Agents are not passed on: nobody calls them, and there are many.
        """
        for member_id in [
            k for k, v in self._records.items() if now_s - v.last_heartbeat_s > FORGET_AFTER_S
        ]:
            del self._records[member_id]
        return [
            (record.member, now_s - record.last_heartbeat_s)
            for record in self._records.values()
            if record.member.role is MemberRole.ENTRY
        ]


def _is_newer(member: Member, record: _MemberRecord, sent_s: float) -> bool:
    if member.incarnation != record.member.incarnation:
        return sent_s > record.last_heartbeat_s
    return member.beat > record.member.beat


def usable_entries(
    own: Member, peers: Iterable[Member], zone: str, min_in_zone: int
) -> list[Member]:
    """Return the entries callers of a zone should use: their own zone's if there are enough."""
    ready = [m for m in (own, *peers) if m.is_ready and not m.is_leaving]
    in_zone = [member for member in ready if member.zone == zone]
    return in_zone if len(in_zone) >= min_in_zone else ready
