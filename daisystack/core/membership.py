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
class _Heard:
    member: Member
    heard_s: float
    # It did not answer the newest question from here, whatever others hear of it.
    is_unreachable: bool = False


@define
class Membership:
    """Keep the newest word of each process and how long ago it was spoken."""

    me: str
    _heard: dict[str, _Heard] = field(factory=dict)

    def heard(self, member: Member, age_s: float, now_s: float) -> None:
        """Take a process's word, directly or through a peer; older words change nothing.

        A word that came through a peer does not mean that its speaker can be reached from here.
        """
        if member.id == self.me:
            return
        known = self._heard.get(member.id)
        spoken_s = now_s - age_s
        if known is not None and not _is_newer(member, known, spoken_s):
            return
        same_life = known is not None and known.member.incarnation == member.incarnation
        is_unreachable = same_life and known.is_unreachable
        self._heard[member.id] = _Heard(member, spoken_s, is_unreachable)

    def silent(self, member_id: str) -> None:
        """Record that a process did not answer."""
        if member_id in self._heard:
            self._heard[member_id].is_unreachable = True

    def answered(self, member_id: str) -> None:
        """Record that a process answered."""
        if member_id in self._heard:
            self._heard[member_id].is_unreachable = False

    def shift_times(self, gap_s: float) -> None:
        """Shift all times by an own pause, in which nothing could be heard."""
        for known in self._heard.values():
            known.heard_s += gap_s

    def members(self, role: MemberRole) -> list[Member]:
        """Return all processes of a role that were heard of lately."""
        return [known.member for known in self._heard.values() if known.member.role is role]

    def live(self, role: MemberRole, now_s: float) -> list[Member]:
        """Return the processes of a role that are not suspected."""
        return [
            known.member
            for known in self._heard.values()
            if known.member.role is role
            and now_s - known.heard_s <= SUSPECT_AFTER_S
            and not known.is_unreachable
        ]

    def told(self, now_s: float) -> list[tuple[Member, float]]:
        """Return each entry with the age of its word, and forget the long silent processes.

        Agents are not passed on: nobody calls them, and there are many.
        """
        for member_id in [k for k, v in self._heard.items() if now_s - v.heard_s > FORGET_AFTER_S]:
            del self._heard[member_id]
        return [
            (known.member, now_s - known.heard_s)
            for known in self._heard.values()
            if known.member.role is MemberRole.ENTRY
        ]


def _is_newer(member: Member, known: _Heard, spoken_s: float) -> bool:
    if member.incarnation != known.member.incarnation:
        return spoken_s > known.heard_s
    return member.beat > known.member.beat


def usable_entries(own: Member, others: Iterable[Member], zone: str, min_near: int) -> list[Member]:
    """Return the entries callers of a zone should use: their own zone's if there are enough."""
    ready = [m for m in (own, *others) if m.is_ready and not m.is_leaving]
    near = [member for member in ready if member.zone == zone]
    return near if len(near) >= min_near else ready
