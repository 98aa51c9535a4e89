"""Track the other processes of the system from their gossiped updates."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = ["Member", "MemberRole", "Membership", "usable_entries"]

# Three heartbeats lost in a row, at the longest interval between two of them.
SUSPECT_AFTER_S = 1.6
FORGET_AFTER_S = 30.0


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


@define
class _MemberRecord:
    member: Member
    last_heartbeat_s: float
    # The latest request from this process went unanswered, whatever its peers report.
    is_unreachable: bool = False


@define
class Membership:
    """Keep the latest update of each process and the time at which it was sent."""

    own_id: str
    _records: dict[str, _MemberRecord] = field(factory=dict)

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
        is_same_incarnation = record is not None and record.member.incarnation == member.incarnation
        is_unreachable = is_same_incarnation and record.is_unreachable
        self._records[member.id] = _MemberRecord(member, sent_s, is_unreachable)

    def mark_unreachable(self, member_id: str) -> None:
        """Record that a process did not answer a request."""
        if member_id in self._records:
            self._records[member_id].is_unreachable = True

    def mark_reachable(self, member_id: str) -> None:
        """Record that a process answered a request."""
        if member_id in self._records:
            self._records[member_id].is_unreachable = False

    def shift_times(self, gap_s: float) -> None:
        """Shift all times by a pause of this process, in which no update could be received."""
        for record in self._records.values():
            record.last_heartbeat_s += gap_s

    def members(self, role: MemberRole) -> list[Member]:
        """Return all processes of a role that have not been forgotten."""
        return [record.member for record in self._records.values() if record.member.role is role]

    def live(self, role: MemberRole, now_s: float) -> list[Member]:
        """Return the processes of a role that are neither suspected nor unreachable."""
        return [
            record.member
            for record in self._records.values()
            if record.member.role is role
            and now_s - record.last_heartbeat_s <= SUSPECT_AFTER_S
            and not record.is_unreachable
        ]

    def entries_to_gossip(self, now_s: float) -> list[tuple[Member, float]]:
        """Return each entry with the age of its update, and forget processes that timed out.

        Agents are not gossiped: no process calls them, and there are many.
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
    """Return the entries for callers of a zone: those of the zone if there are enough, else all."""
    ready = [m for m in (own, *peers) if m.is_ready and not m.is_leaving]
    in_zone = [member for member in ready if member.zone == zone]
    return in_zone if len(in_zone) >= min_in_zone else ready
