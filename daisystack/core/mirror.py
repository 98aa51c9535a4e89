"""Local mirror of published keys that never reverts and whose age is known.

A store that came back from an older copy of itself has a higher era. Its revisions start again from
the copy's, so revisions are compared only within an era. What the copy lacks was lost and is
published again.
"""

from __future__ import annotations

from collections.abc import Callable, Container, Iterable

from attrs import define, field, frozen

__all__ = ["NEVER_CONFIRMED_S", "Change", "Delta", "DocumentVersion", "Mirror", "Snapshot"]

# Deletions kept for peers that lag behind; peers that need older ones get a full copy.
MAX_TOMBSTONES = 2048
# More changes than this between two reads are read again.
MAX_EXPLAINED_REVISIONS = 1024
NEVER_CONFIRMED_S = float("-inf")
# Publishers write lost values again within about two seconds of the store's return.
LOST_VALUE_HOLD_S = 3.0
# The store's older copy may list upstreams that have left; their entries expire by then.
DISTRUST_S = 10.0
# Revision of a value from an earlier era; any value of the present era has a higher one.
EARLIER_ERA = 0

DocumentVersion = tuple[int, ...]


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
    era: int = 0


@frozen
class Delta:
    """Changes of a peer after a revision, and how long ago the store confirmed its copy."""

    changes: tuple[Change, ...]
    complete_revision: int
    age_s: float
    is_full: bool
    era: int = 0


@define
class Mirror:
    """Keep the newest known value of each key under one prefix.

    complete_revision is the revision of the store up to which this copy is complete. confirmed_s
    is the latest time at which the store is known to have held nothing newer. Both are of one era.

    document_version returns the version that a value states itself, None if it states none; it
    orders values of different eras. A value without one is replaced by any of a later era.
    """

    prefix: str
    document_version: Callable[[str, bytes], DocumentVersion | None] = lambda key, value: None
    complete_revision: int = 0
    confirmed_s: float = NEVER_CONFIRMED_S
    era: int = 0
    # When the store was last known not to hold the changes of the latest read; None if the latest
    # changes came by a watch or from a peer.
    changed_after_s: float | None = None
    _changes_by_key: dict[str, Change] = field(factory=dict)
    _tombstones: dict[str, int] = field(factory=dict)
    _pruned_revision: int = 0
    _newest_change: int = 0
    # Revisions of known changes above the complete revision, also of values replaced since.
    _seen_revisions: set[int] = field(factory=set)
    # Versions of the values deleted in this era, and in earlier ones, which an older copy of the
    # store must not bring back.
    _deleted_versions: dict[str, DocumentVersion] = field(factory=dict)
    _earlier_deleted: dict[str, DocumentVersion] = field(factory=dict)
    # When this copy entered its era, for values that the era's first copy lacked.
    _era_entered_s: float | None = None
    _has_lost_values: bool = False

    def __len__(self) -> int:
        return len(self._changes_by_key)

    @property
    def has_snapshot(self) -> bool:
        """Return whether a full copy has been applied."""
        return self.complete_revision > 0

    @property
    def newest_revision(self) -> int:
        """Return the newest known revision, which may be above the complete one."""
        return max(self.complete_revision, self._newest_change)

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
        # A new era ends all confirmations, but its changes still came after the last one.
        confirmed_s = self.confirmed_s
        self._enter_era(snapshot.era, snapshot.requested_s)
        if snapshot.era < self.era or snapshot.revision < self.complete_revision:
            return []
        self.changed_after_s = confirmed_s if confirmed_s > NEVER_CONFIRMED_S else None
        changed = self._apply_full(snapshot.changes, snapshot.revision, snapshot.requested_s)
        self.confirmed_s = max(self.confirmed_s, snapshot.requested_s)
        return changed

    def apply_events(self, events: Iterable[Change], era: int = 0) -> list[Change]:
        """Apply watch events; they confirm nothing, since the watch may have missed others.

        Events of another era are ignored, as a later era is entered by a full copy only.
        """
        if era != self.era:
            return []
        self.changed_after_s = None
        return [event for event in events if self._apply(event)]

    def apply_delta(self, delta: Delta, requested_s: float) -> list[Change]:
        """Apply a peer's copy; requested_s is the local time at which the peer was asked."""
        if delta.is_full:
            self._enter_era(delta.era, requested_s)
        if delta.era != self.era or delta.complete_revision < self.complete_revision:
            return []
        self.changed_after_s = None
        if delta.is_full:
            changed = self._apply_full(delta.changes, delta.complete_revision, requested_s)
        else:
            changed = [change for change in delta.changes if self._apply(change)]
            self._advance(delta.complete_revision)
        self.confirmed_s = max(self.confirmed_s, requested_s - delta.age_s)
        return changed

    def is_behind(self, era: int, complete_revision: int, newest_revision: int = 0) -> bool:
        """Return whether a copy at a position in the store is newer than this one."""
        if complete_revision <= 0 or era < self.era:
            return False
        if era > self.era or complete_revision > self.complete_revision:
            return True
        return newest_revision > self.newest_revision

    def revisions_ahead(self) -> list[int]:
        """Return the revisions of the held values that are above the complete revision."""
        held = (change.revision for change in self._changes_by_key.values())
        return [revision for revision in held if revision > self.complete_revision]

    def apply_confirmation(
        self, complete_revision: int, age_s: float, requested_s: float, era: int = 0
    ) -> None:
        """Apply a peer's confirmation, age_s old, that the store held nothing past a revision."""
        if era == self.era and 0 < complete_revision <= self.complete_revision:
            self.confirmed_s = max(self.confirmed_s, requested_s - age_s)

    def apply_other_prefix(self, snapshot: Snapshot) -> None:
        """Confirm this copy by a read of another prefix, if it explains all later revisions.

        Each revision of the store belongs to one change. If every revision after the complete one
        is that of a change known here or of a value that was read, this copy lacks none.
        """
        if snapshot.era != self.era or not self.has_snapshot:
            return
        missing = range(self.complete_revision + 1, snapshot.revision + 1)
        if len(missing) > MAX_EXPLAINED_REVISIONS:
            return
        read = {change.revision for change in snapshot.changes}
        if all(revision in self._seen_revisions or revision in read for revision in missing):
            self._advance(max(self.complete_revision, snapshot.revision))
            self.confirmed_s = max(self.confirmed_s, snapshot.requested_s)

    def delta_after(
        self, revision: int, now_s: float, era: int = 0, held: Container[int] = ()
    ) -> Delta:
        """Return the changes for a peer whose copy is complete up to a revision of an era.

        held are later revisions whose values the peer has, so that none is sent twice. Values kept
        from an earlier era are left out: the store does not confirm them.
        """
        if era != self.era or revision < self._pruned_revision or revision == 0:
            changes = tuple(c for c in self._changes_by_key.values() if c.revision != EARLIER_ERA)
            return Delta(changes, self.complete_revision, self.age_s(now_s), True, self.era)
        changes = [
            c
            for c in self._changes_by_key.values()
            if c.revision > revision and c.revision not in held
        ]
        changes += [Change(k, r, None) for k, r in self._tombstones.items() if r > revision]
        return Delta(tuple(changes), self.complete_revision, self.age_s(now_s), False, self.era)

    def expire_lost_values(self) -> list[Change]:
        """Remove values that the store lost and was confirmed to lack after their hold time.

        Full copies remove them too, but a confirmed copy isn't read again. Return what changed.
        """
        if not self._has_lost_values or self._time_in_era_s(self.confirmed_s) < LOST_VALUE_HOLD_S:
            return []
        self._has_lost_values = False
        lost = [c for c in self._changes_by_key.values() if c.revision == EARLIER_ERA]
        deletions = [Change(change.key, self.complete_revision, None) for change in lost]
        return [deletion for deletion in deletions if self._apply(deletion)]

    def _enter_era(self, era: int, now_s: float) -> None:
        """Keep all values as those of an earlier era if a copy of a later era arrives."""
        if era <= self.era:
            return
        # The first copy of a new process is of no later era than any before it.
        self._era_entered_s = now_s if self.has_snapshot else None
        self._has_lost_values = self.has_snapshot
        self.era = era
        self.complete_revision = self._newest_change = 0
        self._seen_revisions.clear()
        self.confirmed_s = NEVER_CONFIRMED_S
        self._pruned_revision = 0
        self._tombstones.clear()
        self._earlier_deleted |= self._deleted_versions
        self._deleted_versions = {}
        self._changes_by_key = {
            key: Change(key, EARLIER_ERA, change.value)
            for key, change in self._changes_by_key.items()
        }

    def _time_in_era_s(self, requested_s: float) -> float:
        """Return how long ago this copy entered its era, infinite if it knows no earlier one."""
        if self._era_entered_s is None:
            return float("inf")
        return requested_s - self._era_entered_s

    def _is_outdated(self, change: Change) -> bool:
        """Return whether a value states an older version than one known from an earlier era."""
        if change.value is None:
            return False
        version = self.document_version(change.key, change.value)
        known = self._changes_by_key.get(change.key)
        if known is not None and known.revision != EARLIER_ERA:
            return False
        if known is not None:
            known_version = self.document_version(change.key, known.value)
            return version is not None and known_version is not None and version < known_version
        deleted_version = self._earlier_deleted.get(change.key)
        return version is not None and deleted_version is not None and version <= deleted_version

    def _apply_full(
        self, changes: tuple[Change, ...], revision: int, requested_s: float
    ) -> list[Change]:
        time_in_era_s = self._time_in_era_s(requested_s)
        if time_in_era_s >= DISTRUST_S:
            self._earlier_deleted.clear()
        changed = [change for change in changes if self._apply(change)]
        present = {change.key for change in changes}
        # A key written after the read was answered is not in it and is kept.
        missing = [
            c
            for c in self._changes_by_key.values()
            if c.key not in present
            and c.revision <= revision
            and not (c.revision == EARLIER_ERA and time_in_era_s < LOST_VALUE_HOLD_S)
        ]
        for change in missing:
            deletion = Change(change.key, revision, None)
            self._apply(deletion)
            changed.append(deletion)
        self._advance(max(self.complete_revision, revision))
        return changed

    def _advance(self, complete_revision: int) -> None:
        self.complete_revision = complete_revision
        self._seen_revisions = {r for r in self._seen_revisions if r > complete_revision}

    def _apply(self, change: Change) -> bool:
        self._newest_change = max(self._newest_change, change.revision)
        if self.complete_revision < change.revision:
            self._seen_revisions.add(change.revision)
        known = self._changes_by_key.get(change.key)
        known_revision = known.revision if known else self._tombstones.get(change.key, 0)
        if change.revision <= known_revision or self._is_outdated(change):
            return False
        if change.value is None:
            self._changes_by_key.pop(change.key, None)
            self._add_tombstone(change)
            if known is not None:
                self._remember_deleted(known)
            return known is not None
        self._tombstones.pop(change.key, None)
        self._deleted_versions.pop(change.key, None)
        self._earlier_deleted.pop(change.key, None)
        self._changes_by_key[change.key] = change
        return known is None or known.value != change.value

    def _remember_deleted(self, change: Change) -> None:
        version = self.document_version(change.key, change.value)
        if version is not None:
            self._deleted_versions[change.key] = version
        while len(self._deleted_versions) > MAX_TOMBSTONES:
            del self._deleted_versions[next(iter(self._deleted_versions))]

    def _add_tombstone(self, change: Change) -> None:
        self._tombstones[change.key] = change.revision
        if len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones, key=self._tombstones.__getitem__)
            self._pruned_revision = max(self._pruned_revision, self._tombstones.pop(oldest))
