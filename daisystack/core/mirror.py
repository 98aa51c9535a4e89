"""Local mirror of published keys that never reverts and whose age is known."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field, frozen

__all__ = ["Change", "Delta", "Mirror", "Snapshot"]

# Deletions kept for peers that lag behind; peers that need older ones get a full copy.
MAX_TOMBSTONES = 2048
NEVER_CONFIRMED_S = float("-inf")


@frozen
class Change:
    """Value of one key at a revision; None means that the key was deleted."""

    key: str
    revision: int
    value: bytes | None


@frozen
class Snapshot:
    """All keys under the prefix, read linearizably at a revision of the store.

    requested_s is when the read was sent.
    """

    changes: tuple[Change, ...]
    revision: int
    requested_s: float


@frozen
class Delta:
    """Changes of a peer after a revision, and how long ago the store confirmed its copy."""

    changes: tuple[Change, ...]
    complete_revision: int
    age_s: float
    is_full: bool


@define
class Mirror:
    """Keep the newest known value of each key under one prefix.

    complete_revision is the revision of the store up to which this copy is complete. confirmed_s
    is the latest time at which the store is known to have held nothing newer.
    """

    prefix: str
    complete_revision: int = 0
    confirmed_s: float = NEVER_CONFIRMED_S
    _changes_by_key: dict[str, Change] = field(factory=dict)
    _tombstones: dict[str, int] = field(factory=dict)
    _pruned_revision: int = 0

    def __len__(self) -> int:
        return len(self._changes_by_key)

    @property
    def has_snapshot(self) -> bool:
        """Return whether a full copy has been applied."""
        return self.complete_revision > 0

    def get(self, key: str) -> Change | None:
        """Return the newest value of a key."""
        return self._changes_by_key.get(key)

    def values(self) -> Iterable[Change]:
        """Return the newest value of every key that is not deleted."""
        return self._changes_by_key.values()

    def age_s(self, now_s: float) -> float:
        """Return how long ago the store confirmed this copy."""
        return now_s - self.confirmed_s

    def apply_snapshot(self, snapshot: Snapshot) -> list[Change]:
        """Apply a linearizable read and return what it changed."""
        if snapshot.revision < self.complete_revision:
            return []
        changed = self._apply_full(snapshot.changes, snapshot.revision)
        self.confirmed_s = max(self.confirmed_s, snapshot.requested_s)
        return changed

    def apply_events(self, events: Iterable[Change]) -> list[Change]:
        """Apply watch events; they confirm nothing, since the watch may have missed others."""
        return [event for event in events if self._apply(event)]

    def apply_delta(self, delta: Delta, requested_s: float) -> list[Change]:
        """Apply a peer's copy; requested_s is the local time at which the peer was asked."""
        if delta.complete_revision < self.complete_revision:
            return []
        if delta.is_full:
            changed = self._apply_full(delta.changes, delta.complete_revision)
        else:
            changed = [change for change in delta.changes if self._apply(change)]
            self.complete_revision = delta.complete_revision
        self.confirmed_s = max(self.confirmed_s, requested_s - delta.age_s)
        return changed

    def apply_confirmation(self, complete_revision: int, age_s: float, requested_s: float) -> None:
        """Apply a peer's confirmation, age_s old, that the store held nothing past a revision."""
        if 0 < complete_revision <= self.complete_revision:
            self.confirmed_s = max(self.confirmed_s, requested_s - age_s)

    def delta_after(self, revision: int, now_s: float) -> Delta:
        """Return the changes for a peer whose copy is complete up to a revision."""
        if revision < self._pruned_revision or revision == 0:
            changes = tuple(self._changes_by_key.values())
            return Delta(changes, self.complete_revision, self.age_s(now_s), True)
        changes = [c for c in self._changes_by_key.values() if c.revision > revision]
        changes += [Change(k, r, None) for k, r in self._tombstones.items() if r > revision]
        return Delta(tuple(changes), self.complete_revision, self.age_s(now_s), False)

    def _apply_full(self, changes: tuple[Change, ...], revision: int) -> list[Change]:
        changed = [change for change in changes if self._apply(change)]
        present = {change.key for change in changes}
        # A key written after the read was answered is not in it and is kept.
        missing = [
            c
            for c in self._changes_by_key.values()
            if c.key not in present and c.revision <= revision
        ]
        for change in missing:
            deletion = Change(change.key, revision, None)
            self._apply(deletion)
            changed.append(deletion)
        self.complete_revision = max(self.complete_revision, revision)
        return changed

    def _apply(self, change: Change) -> bool:
        known = self._changes_by_key.get(change.key)
        known_revision = known.revision if known else self._tombstones.get(change.key, 0)
        if change.revision <= known_revision:
            return False
        if change.value is None:
            self._changes_by_key.pop(change.key, None)
            self._add_tombstone(change)
            return known is not None
        self._tombstones.pop(change.key, None)
        self._changes_by_key[change.key] = change
        return True

    def _add_tombstone(self, change: Change) -> None:
        self._tombstones[change.key] = change.revision
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones, key=self._tombstones.__getitem__)
            self._pruned_revision = max(self._pruned_revision, self._tombstones.pop(oldest))
