"""Mirror what the operators publish, so that it never reverts and its age is known."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = ["Change", "Delta", "Mirror", "Snapshot"]

# Deletions remembered for peers that are behind; beyond it they get a whole copy.
MAX_REMEMBERED_DELETIONS = 2048
UNCONFIRMED_S = float("-inf")


@frozen
class Change:
    """Hold one key's value at a revision; no value means that the key was deleted."""

    key: str
    revision: int
    value: bytes | None


@frozen
class Snapshot:
    """Hold all keys under the prefix, read linearizably at a revision of the store.

    asked_s is when the read was sent.
    """

    changes: tuple[Change, ...]
    revision: int
    asked_s: float


@frozen
class Delta:
    """Hold what a peer knows beyond a revision and how long ago the store confirmed it."""

    changes: tuple[Change, ...]
    complete_revision: int
    age_s: float
    is_whole: bool


@define
class Mirror:
    """Keep the newest known value of each key under one prefix.

    complete_revision is the store's revision up to which nothing is missing here. confirmed_s is
    the latest time at which the store is known to have held nothing newer.
    """

    prefix: str
    complete_revision: int = 0
    confirmed_s: float = UNCONFIRMED_S
    _known: dict[str, Change] = field(factory=dict)
    _deletions: dict[str, int] = field(factory=dict)
    _forgotten_revision: int = 0

    def __len__(self) -> int:
        return len(self._known)

    @property
    def is_known(self) -> bool:
        """Say whether a whole copy has ever been taken."""
        return self.complete_revision > 0

    def get(self, key: str) -> Change | None:
        """Return the newest value of a key."""
        return self._known.get(key)

    def values(self) -> Iterable[Change]:
        """Return all present keys."""
        return self._known.values()

    def age_s(self, now_s: float) -> float:
        """Return how long ago the store confirmed this copy."""
        return now_s - self.confirmed_s

    def take_snapshot(self, snapshot: Snapshot) -> list[Change]:
        """Take a linearizable read and return what it changed."""
        if snapshot.revision < self.complete_revision:
            return []
        changed = self._take_whole(snapshot.changes, snapshot.revision)
        self.confirmed_s = max(self.confirmed_s, snapshot.asked_s)
        return changed

    def take_events(self, events: Iterable[Change]) -> list[Change]:
        """Take watch events; they prove nothing about what the watch may have missed."""
        return [event for event in events if self._take(event)]

    def take_delta(self, delta: Delta, asked_s: float) -> list[Change]:
        """Take a peer's copy; asked_s is when the peer was asked, on the own clock."""
        if delta.complete_revision < self.complete_revision:
            return []
        if delta.is_whole:
            changed = self._take_whole(delta.changes, delta.complete_revision)
        else:
            changed = [change for change in delta.changes if self._take(change)]
            self.complete_revision = delta.complete_revision
        self.confirmed_s = max(self.confirmed_s, asked_s - delta.age_s)
        return changed

    def take_confirmation(self, complete_revision: int, age_s: float, asked_s: float) -> None:
        """Take a peer's word that the store held nothing beyond a revision some time ago."""
        if 0 < complete_revision <= self.complete_revision:
            self.confirmed_s = max(self.confirmed_s, asked_s - age_s)

    def delta_after(self, revision: int, now_s: float) -> Delta:
        """Return what a peer lacks that is complete up to a revision."""
        if revision < self._forgotten_revision or revision == 0:
            changes = tuple(self._known.values())
            return Delta(changes, self.complete_revision, self.age_s(now_s), True)
        changes = [c for c in self._known.values() if c.revision > revision]
        changes += [Change(k, r, None) for k, r in self._deletions.items() if r > revision]
        return Delta(tuple(changes), self.complete_revision, self.age_s(now_s), False)

    def _take_whole(self, changes: tuple[Change, ...], revision: int) -> list[Change]:
        changed = [change for change in changes if self._take(change)]
        present = {change.key for change in changes}
        # A key written after the read was answered is not in it and stays.
        gone = [c for c in self._known.values() if c.key not in present and c.revision <= revision]
        for change in gone:
            deletion = Change(change.key, revision, None)
            self._take(deletion)
            changed.append(deletion)
        self.complete_revision = max(self.complete_revision, revision)
        return changed

    def _take(self, change: Change) -> bool:
        known = self._known.get(change.key)
        seen = known.revision if known else self._deletions.get(change.key, 0)
        if change.revision <= seen:
            return False
        if change.value is None:
            self._known.pop(change.key, None)
            self._remember_deletion(change)
            return known is not None
        self._deletions.pop(change.key, None)
        self._known[change.key] = change
        return True

    def _remember_deletion(self, change: Change) -> None:
        self._deletions[change.key] = change.revision
        if len(self._deletions) > MAX_REMEMBERED_DELETIONS:
            oldest = min(self._deletions, key=self._deletions.__getitem__)
            self._forgotten_revision = max(self._forgotten_revision, self._deletions.pop(oldest))
