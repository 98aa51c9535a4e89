"""Find the parts of prompts that crash upstreams, from the crashes and the complete answers.

A crash takes along all requests that run beside its cause. A part that causes crashes never has a
complete answer, so each complete answer clears the parts of its request. A crash of a part that no
later complete answer has cleared is open. Of the parts with open crashes, the one that explains the
most of them is held, and these stop counting against others. A part is sound if it ever had a
complete answer; parts in the same crashes are tied, and more crashes are asked of both kinds.
"""

from __future__ import annotations

import hashlib

from attrs import define, field, frozen

__all__ = [
    "DIGEST_BYTES",
    "UPSTREAM_BYTES",
    "CrashMark",
    "CrashSuspects",
    "HeldPart",
    "PartEvidence",
    "digest_part",
    "digest_upstream",
]

HOLD_AFTER_CRASHES = 3
# Of parts that were in the same crashes, none can be told to be the cause.
HOLD_TIED_AFTER_CRASHES = 4
# Without complete answers to compare with, or if other upstreams crashed without the part.
HOLD_UNSURE_AFTER_CRASHES = 5
MIN_SOUND_SPREAD_S = 1.5
# Upstreams that end within this time of each other may have one cause outside, as a rack's end.
MIN_SPREAD_S = 0.1
# So many crashes at once count as two.
MANY_AT_ONCE = 4
MIN_COVERAGE = 0.66
# Of requests with a part that is in all crashes, the share that has the cause too, at most.
MAX_RARE_SHARE = 0.75
HOLD_S = 600.0
SUSPECT_S = 60.0
MAX_PARTS = 512
MAX_CRASHES_PER_PART = 16
MAX_COMPLETED_PARTS = 8192
MAX_REPORTED_PARTS = 32
# Within this time every entry has heard that a part is cleared.
REPORT_CLEARED_S = 10.0
MAX_REPORTED_CRASHES = 8
SCOPE_BYTES = 2
PART_BYTES = 6
DIGEST_BYTES = SCOPE_BYTES + PART_BYTES
UPSTREAM_BYTES = 6


def digest_part(model: str, part: str) -> bytes:
    """Return the digest of a part of a prompt to a model."""
    scope = hashlib.blake2b(model.encode(), digest_size=SCOPE_BYTES).digest()
    identity = f"{model}\x00{part}".encode()
    return scope + hashlib.blake2b(identity, digest_size=PART_BYTES).digest()


def digest_upstream(upstream_id: str, started_ms: int) -> bytes:
    """Return the digest of one incarnation of an upstream."""
    identity = f"{upstream_id}\x00{started_ms}".encode()
    return hashlib.blake2b(identity, digest_size=UPSTREAM_BYTES).digest()


@frozen
class CrashMark:
    """The crash of an upstream while a part was running on it; cleared by a complete answer."""

    upstream: bytes
    age_s: float
    is_cleared: bool


@frozen
class PartEvidence:
    """What an entry knows of one part; is_sound means that it had complete answers."""

    part: bytes
    is_sound: bool
    is_held: bool
    crashes: tuple[CrashMark, ...]


@frozen
class HeldPart:
    """A part that is held, with the number of its crashes, also of those seen by this entry."""

    part: bytes
    crashes: int
    own_crashes: int


@define
class _Crash:
    at_s: float
    is_cleared: bool
    is_own: bool


@define
class _Evidence:
    is_sound: bool
    crashes: dict[bytes, _Crash] = field(factory=dict)
    cleared_s: float = float("-inf")

    def open_crashes(self, explained: frozenset[bytes] | set[bytes]) -> set[bytes]:
        """Return the crashes that are neither cleared nor explained by another part."""
        return {
            upstream
            for upstream, crash in self.crashes.items()
            if not crash.is_cleared and upstream not in explained
        }


@define(eq=False)
class CrashSuspects:
    """Parts of prompts that were running at crashes, as known by this and other entries."""

    _evidence: dict[bytes, _Evidence] = field(factory=dict)
    # Time of the last complete answer of each part.
    _completed: dict[bytes, float] = field(factory=dict)
    # How many requests with each part were sent here.
    _sent: dict[bytes, int] = field(factory=dict)
    _held: set[bytes] = field(factory=set)
    # The most suspect parts first; None after a change.
    _ranked: list[bytes] | None = None

    @property
    def held_parts(self) -> frozenset[bytes]:
        """Return the parts that are held."""
        return frozenset(self._held)

    def record_crash(self, parts: tuple[bytes, ...], upstream: bytes, now_s: float) -> bool:
        """Count an upstream's crash against the parts of a request whose answer had begun.

        Return whether this is news. Further requests with the same part at this upstream have no
        effect.
        """
        is_new = False
        for part in parts:
            is_new |= self._add(part, upstream, _Crash(now_s, False, True), now_s)
        if is_new:
            self._update_held(now_s)
        return is_new

    def record_sent(self, parts: tuple[bytes, ...]) -> None:
        """Count a request that is sent."""
        for part in parts:
            self._sent[part] = self._sent.pop(part, 0) + 1
        while len(self._sent) > MAX_COMPLETED_PARTS:
            del self._sent[next(iter(self._sent))]

    def record_complete(self, parts: tuple[bytes, ...], now_s: float) -> None:
        """Clear the parts of a request that was answered completely."""
        is_changed = False
        for part in parts:
            self._completed.pop(part, None)
            self._completed[part] = now_s
            evidence = self._evidence.get(part)
            if evidence is None:
                continue
            evidence.is_sound = True
            for crash in evidence.crashes.values():
                if not crash.is_cleared:
                    crash.is_cleared = is_changed = True
                    evidence.cleared_s = now_s
        while len(self._completed) > MAX_COMPLETED_PARTS:
            del self._completed[next(iter(self._completed))]
        if is_changed:
            self._update_held(now_s)

    def find_held(self, parts: tuple[bytes, ...], now_s: float) -> HeldPart | None:
        """Return the first of the parts that is held, or None."""
        for part in parts:
            if part not in self._held:
                continue
            self._expire(now_s)
            if part in self._held:
                return self._describe(part)
        return None

    def report(self, now_s: float) -> tuple[PartEvidence, ...]:
        """Return what is known of the most suspect parts, for other entries."""
        self._expire(now_s)
        if self._ranked is None:
            reported = [part for part in self._evidence if self._is_reported(part, now_s)]
            ranked = sorted(reported, key=self._rank, reverse=True)
            self._ranked = ranked[:MAX_REPORTED_PARTS]
        return tuple(self._report_part(part, now_s) for part in self._ranked)

    def merge(self, reported: tuple[PartEvidence, ...], now_s: float) -> bool:
        """Add what another entry knows; return whether it had crashes that are news here."""
        is_new = False
        is_changed = False
        for theirs in reported[:MAX_REPORTED_PARTS]:
            for mark in theirs.crashes[:MAX_REPORTED_CRASHES]:
                known = self._find_crash(theirs.part, mark.upstream)
                if known is not None:
                    # Reports seem too recent by the time that they were in transit.
                    known.at_s = min(known.at_s, now_s - mark.age_s)
                    if mark.is_cleared and not known.is_cleared:
                        known.is_cleared = is_changed = True
                        self._evidence[theirs.part].cleared_s = now_s
                elif mark.age_s < HOLD_S:
                    crash = _Crash(now_s - mark.age_s, mark.is_cleared, False)
                    is_added = self._add(theirs.part, mark.upstream, crash, now_s)
                    # Older ones are kept only for a part that is held.
                    is_new |= is_added and not crash.is_cleared and mark.age_s < SUSPECT_S
            is_changed |= self._adopt(theirs)
        if is_new or is_changed:
            self._update_held(now_s)
        return is_new

    def _adopt(self, theirs: PartEvidence) -> bool:
        """Take over that a part is sound or held, unless too few of its crashes are open."""
        evidence = self._evidence.get(theirs.part)
        if evidence is None:
            return False
        is_changed = theirs.is_sound and not evidence.is_sound
        evidence.is_sound |= theirs.is_sound
        explained: set[bytes] = set()
        for part in self._held:
            explained |= self._evidence[part].open_crashes(frozenset())
        is_counted = len(evidence.open_crashes(explained)) >= HOLD_AFTER_CRASHES
        if theirs.is_held and is_counted and theirs.part not in self._held:
            self._held.add(theirs.part)
            is_changed = True
        return is_changed

    def _find_crash(self, part: bytes, upstream: bytes) -> _Crash | None:
        evidence = self._evidence.get(part)
        return evidence.crashes.get(upstream) if evidence is not None else None

    def _add(self, part: bytes, upstream: bytes, crash: _Crash, now_s: float) -> bool:
        completed_s = self._completed.get(part)
        evidence = self._evidence.get(part)
        if evidence is None:
            self._make_room()
            evidence = self._evidence[part] = _Evidence(completed_s is not None)
        known = evidence.crashes.get(upstream)
        if known is not None:
            known.is_own |= crash.is_own
            return False
        crash.is_cleared |= completed_s is not None and completed_s > crash.at_s
        if crash.is_cleared:
            evidence.cleared_s = now_s
        evidence.crashes[upstream] = crash
        if len(evidence.crashes) > MAX_CRASHES_PER_PART:
            del evidence.crashes[min(evidence.crashes, key=lambda u: evidence.crashes[u].at_s)]
        return True

    def _make_room(self) -> None:
        if len(self._evidence) >= MAX_PARTS:
            removed = min(self._evidence, key=self._rank)
            del self._evidence[removed]
            self._held.discard(removed)

    def _rank(self, part: bytes) -> tuple[bool, int, float]:
        evidence = self._evidence[part]
        newest_s = max((crash.at_s for crash in evidence.crashes.values()), default=0.0)
        return part in self._held, len(evidence.open_crashes(frozenset())), newest_s

    def _is_reported(self, part: bytes, now_s: float) -> bool:
        evidence = self._evidence[part]
        is_open = any(not crash.is_cleared for crash in evidence.crashes.values())
        return is_open or now_s - evidence.cleared_s < REPORT_CLEARED_S

    def _report_part(self, part: bytes, now_s: float) -> PartEvidence:
        evidence = self._evidence[part]
        newest = list(evidence.crashes)
        if len(newest) > MAX_REPORTED_CRASHES:
            newest.sort(key=lambda u: -evidence.crashes[u].at_s)
        marks = [(u, evidence.crashes[u]) for u in newest[:MAX_REPORTED_CRASHES]]
        return PartEvidence(
            part,
            evidence.is_sound,
            part in self._held,
            tuple(CrashMark(u, now_s - crash.at_s, crash.is_cleared) for u, crash in marks),
        )

    def _describe(self, part: bytes) -> HeldPart:
        crashes = self._evidence[part].crashes.values()
        counted = [crash for crash in crashes if not crash.is_cleared]
        return HeldPart(part, len(counted), sum(crash.is_own for crash in counted))

    def _expire(self, now_s: float) -> None:
        for part in list(self._evidence):
            kept_from_s = now_s - (HOLD_S if part in self._held else SUSPECT_S)
            crashes = self._evidence[part].crashes
            # Others may still hold a part that was cleared here.
            if self._evidence[part].cleared_s > kept_from_s:
                continue
            for upstream in [u for u, crash in crashes.items() if crash.at_s <= kept_from_s]:
                del crashes[upstream]
                self._ranked = None
            if not crashes:
                del self._evidence[part]
        self._drop_cleared_holds()

    def _drop_cleared_holds(self) -> None:
        self._held = {
            part
            for part in self._held
            if part in self._evidence and self._evidence[part].open_crashes(frozenset())
        }

    def _update_held(self, now_s: float) -> None:
        self._ranked = None
        self._expire(now_s)
        explained: set[bytes] = set()
        for part in self._held:
            explained |= self._evidence[part].open_crashes(frozenset())
        while (part := self._next_to_hold(explained)) is not None:
            self._held.add(part)
            explained |= self._evidence[part].open_crashes(frozenset())
        self._replace_explained()

    def _replace_explained(self) -> None:
        """Release each held part of which another one explains all crashes and more."""
        all_open = {p: evidence.open_crashes(frozenset()) for p, evidence in self._evidence.items()}
        for held in list(self._held):
            wider = [p for p in all_open if self._is_wider(all_open[p], all_open[held], p)]
            others = {p: crashes for p, crashes in all_open.items() if p not in self._held}
            part = next((p for p in wider if p in self._held), None)
            part = part or self._find_cause(wider, others)
            if part is not None:
                self._held.discard(held)
                self._held.add(part)

    def _is_wider(self, crashes: set[bytes], held_crashes: set[bytes], part: bytes) -> bool:
        """Return whether a part's crashes are all those of a held one, and more.

        Crashes older than a full list count as being in it.
        """
        if len(crashes) <= len(held_crashes):
            return False
        missing = held_crashes - crashes
        if not missing:
            return True
        known = self._evidence[part].crashes
        if len(known) < MAX_CRASHES_PER_PART:
            return False
        oldest_s = min(crash.at_s for crash in known.values())
        missing_s = [
            c.at_s for e in self._evidence.values() for u, c in e.crashes.items() if u in missing
        ]
        return max(missing_s) < oldest_s

    def _next_to_hold(self, explained: set[bytes]) -> bytes | None:
        open_crashes = {
            part: crashes
            for part, evidence in self._evidence.items()
            if part not in self._held and (crashes := evidence.open_crashes(explained))
        }
        return self._find_cause(list(open_crashes), open_crashes)

    def _find_cause(
        self, candidates: list[bytes], open_crashes: dict[bytes, set[bytes]]
    ) -> bytes | None:
        """Return the candidate with the most crashes that explains them best, or None.

        Parts that are equally sound and in the same crashes are judged once.
        """
        judged = set()
        # Of parts in the same crashes, the one with the fewest requests is the likeliest cause.
        for part in sorted(candidates, key=lambda p: (-len(open_crashes[p]), self._sent.get(p, 0))):
            crashes = open_crashes[part]
            if len(crashes) < HOLD_AFTER_CRASHES:
                return None
            kind = (frozenset(crashes), self._evidence[part].is_sound)
            if kind in judged:
                continue
            judged.add(kind)
            if self._is_cause(part, open_crashes):
                return part
        return None

    def _is_cause(self, part: bytes, open_crashes: dict[bytes, set[bytes]]) -> bool:
        """Return whether a part explains its crashes better than all parts beside it."""
        crashes = open_crashes[part]
        is_sound = self._evidence[part].is_sound
        rivals = [
            len(others)
            for other, others in open_crashes.items()
            if other != part and self._evidence[other].is_sound == is_sound
            if len(others) >= len(crashes) and not crashes.isdisjoint(others)
        ]
        if rivals and (is_sound or max(rivals) > len(crashes)):
            return False
        times = sorted(self._evidence[part].crashes[upstream].at_s for upstream in crashes)
        count = _count_apart(times)
        if is_sound and times[-1] - times[0] < MIN_SOUND_SPREAD_S:
            return False
        if count >= HOLD_UNSURE_AFTER_CRASHES and self._is_rarest(part, open_crashes, times):
            return True
        if is_sound or not self._is_distinct(part, crashes, times):
            return count >= HOLD_UNSURE_AFTER_CRASHES and self._are_others_answered(part, crashes)
        if rivals:
            return count >= HOLD_TIED_AFTER_CRASHES and self._are_others_answered(part, crashes)
        return count >= HOLD_AFTER_CRASHES

    def _is_rarest(
        self, part: bytes, open_crashes: dict[bytes, set[bytes]], times: list[float]
    ) -> bool:
        """Return whether a part has far fewer requests than all parts that were in its crashes.

        It decides only while nothing is answered, as when upstreams end one after the other.
        """
        if any(completed_s >= times[0] for completed_s in self._completed.values()):
            return False
        crashes = open_crashes[part]
        equal = [p for p, others in open_crashes.items() if p != part and others >= crashes]
        sent = self._sent.get(part, 0)
        if not equal or any(sent > MAX_RARE_SHARE * self._sent.get(p, 0) for p in equal):
            return False
        return self._covers_most(crashes, times)

    def _covers_most(self, crashes: set[bytes], times: list[float]) -> bool:
        """Return whether most crashes of their time are among the given ones."""
        all_times: dict[bytes, float] = {}
        for known in self._evidence.values():
            for upstream, crash in known.crashes.items():
                if times[0] <= crash.at_s <= times[-1]:
                    all_times[upstream] = crash.at_s
        return _count_apart(times) >= MIN_COVERAGE * _count_apart(sorted(all_times.values()))

    def _is_distinct(self, part: bytes, crashes: set[bytes], times: list[float]) -> bool:
        """Return whether a part was in most crashes of its time, beside parts that are sound."""
        beside = [
            known.is_sound
            for other, known in self._evidence.items()
            if other != part and not crashes.isdisjoint(known.crashes)
        ]
        if 2 * sum(beside) < len(beside) or not (beside or self._is_any_answered(part)):
            return False
        return self._covers_most(crashes, times)

    def _are_others_answered(self, part: bytes, crashes: set[bytes]) -> bool:
        """Return whether a part beside it had a complete answer after one of its crashes."""
        return any(
            other != part and any(u in crashes and c.is_cleared for u, c in known.crashes.items())
            for other, known in self._evidence.items()
        )

    def _is_any_answered(self, part: bytes) -> bool:
        """Return whether requests to its model without the part have been answered here."""
        scope = part[:SCOPE_BYTES]
        return any(o != part and o[:SCOPE_BYTES] == scope for o in self._completed)


def _count_apart(times: list[float]) -> int:
    """Count ascending times; those close to each other count once, or twice if they are many."""
    count = 0
    start_s = float("-inf")
    for at_s in times:
        if at_s - start_s >= MIN_SPREAD_S:
            count, start_s = count + 1, at_s
    return count + (len(times) - count >= MANY_AT_ONCE - 1)
