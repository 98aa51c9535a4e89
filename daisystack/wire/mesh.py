"""Convert between the mesh's thrift messages and the types of daisystack.core."""

from __future__ import annotations

import functools
import math
import struct
import zlib
from collections.abc import Iterable

from daisystack.core.crash_hold import EntryCrashCount
from daisystack.core.crash_suspects import DIGEST_BYTES, UPSTREAM_BYTES, CrashMark, PartEvidence
from daisystack.core.engine_status import EngineStatus
from daisystack.core.membership import Heartbeat, Member, MemberRole
from daisystack.core.mirror import Change, Delta
from daisystack.core.rate_limits import MAX_LIMIT_PER_S, MIN_LIMIT_PER_S, LimitNews
from daisystack.wire.gen import ttypes

__all__ = [
    "crash_count_from_wire",
    "crash_count_to_wire",
    "delta_from_wire",
    "delta_to_wire",
    "engine_from_wire",
    "engine_to_wire",
    "heartbeats_from_wire",
    "heartbeats_to_wire",
    "limit_from_wire",
    "limit_to_wire",
    "member_from_wire",
    "member_to_wire",
    "part_from_wire",
    "part_to_wire",
]

MS_PER_S = 1000
# Fits the i32 fields; receivers don't distinguish larger ages.
MAX_AGE_MS = 10**9
# Digest, beat and age in hundredths of a second; the most frequent records, so they are packed.
_HEARTBEAT = struct.Struct(">QIH")
CS_PER_S = 100
MAX_AGE_CS = 2**16 - 1
# Digest of the upstream, age in hundredths of a second and whether the crash is cleared.
_CRASH = struct.Struct(f">{UPSTREAM_BYTES}sH?")
# Shorter values gain little; a document of many routes shrinks to a tenth.
MIN_PACKED_BYTES = 2048
MAX_VALUE_BYTES = 20 * 1024 * 1024


def age_to_ms(age_s: float) -> int:
    """Return an age in whole milliseconds, rounded up so that no state looks too recent."""
    return min(MAX_AGE_MS, int(max(0.0, min(age_s, MAX_AGE_MS / MS_PER_S)) * MS_PER_S) + 1)


def member_to_wire(member: Member, age_s: float) -> ttypes.MemberState:
    """Return the thrift message of a member's state, last updated age_s ago."""
    return ttypes.MemberState(
        id=member.id,
        incarnation=member.incarnation,
        role=member.role.value,
        peer_address=member.peer_address,
        caller_address=member.caller_address,
        news_address=member.news_address,
        zone=member.zone,
        region=member.region,
        ready=member.is_ready,
        leaving=member.is_leaving,
        beat=member.beat,
        age_ms=age_to_ms(age_s),
    )


def member_from_wire(wire: ttypes.MemberState) -> tuple[Member, float]:
    """Return a member and the age of its state; raise ValueError for an unknown role."""
    member = Member(
        id=wire.id,
        incarnation=wire.incarnation,
        role=MemberRole(wire.role),
        peer_address=wire.peer_address,
        caller_address=wire.caller_address,
        news_address=wire.news_address,
        zone=wire.zone,
        region=wire.region,
        is_ready=wire.ready,
        is_leaving=wire.leaving,
        beat=wire.beat,
    )
    return member, wire.age_ms / MS_PER_S


def heartbeats_to_wire(heartbeats: Iterable[Heartbeat]) -> bytes:
    """Return packed heartbeats; ages are rounded up so that none looks too recent."""
    return b"".join(
        _HEARTBEAT.pack(h.digest, h.beat, min(MAX_AGE_CS, math.ceil(max(0.0, h.age_s) * CS_PER_S)))
        for h in heartbeats
    )


def heartbeats_from_wire(packed: bytes) -> list[Heartbeat]:
    """Return the heartbeats of a message; raise ValueError if the last one is incomplete."""
    if len(packed) % _HEARTBEAT.size:
        raise ValueError(
            f"got {len(packed)} bytes of heartbeats, allowed are multiples of {_HEARTBEAT.size}"
        )
    return [
        Heartbeat(digest, beat, age_cs / CS_PER_S)
        for digest, beat, age_cs in _HEARTBEAT.iter_unpack(packed)
    ]


def crash_count_to_wire(crashes: EntryCrashCount) -> ttypes.CrashCount:
    """Return the thrift message of an entry's crash count."""
    age_ms = age_to_ms(crashes.age_s)
    return ttypes.CrashCount(crashes.fingerprint, crashes.count, crashes.entry_id, age_ms)


def crash_count_from_wire(wire: ttypes.CrashCount, sender_id: str) -> EntryCrashCount:
    """Return an entry's crash count; an earlier release sends its own without its id."""
    age_s = (wire.age_ms or 0) / MS_PER_S
    return EntryCrashCount(wire.entry_id or sender_id, wire.fingerprint, wire.deaths, age_s)


def part_to_wire(evidence: PartEvidence) -> ttypes.PartNews:
    """Return the thrift message of what is known of a part."""
    crashes = b"".join(
        _CRASH.pack(mark.upstream, _age_to_cs(mark.age_s), mark.is_cleared)
        for mark in evidence.crashes
    )
    return ttypes.PartNews(evidence.part, evidence.is_sound, crashes, evidence.is_held)


def part_from_wire(wire: ttypes.PartNews) -> PartEvidence:
    """Return what a thrift message tells of a part; raise ValueError if it is malformed."""
    if len(wire.part) != DIGEST_BYTES or len(wire.crashes) % _CRASH.size:
        raise ValueError(
            f"got a part of {len(wire.part)} bytes with {len(wire.crashes)} bytes of crashes, "
            f"allowed are {DIGEST_BYTES} and multiples of {_CRASH.size}"
        )
    crashes = tuple(
        CrashMark(upstream, age_cs / CS_PER_S, is_cleared)
        for upstream, age_cs, is_cleared in _CRASH.iter_unpack(wire.crashes)
    )
    return PartEvidence(wire.part, wire.sound, wire.held, crashes)


def limit_to_wire(news: LimitNews) -> ttypes.RateLimitNews:
    """Return the thrift message of what is known of an upstream's rate limit."""
    return ttypes.RateLimitNews(
        news.upstream_id,
        news.started_ms,
        news.limit_per_s,
        age_to_ms(news.first_age_s),
        age_to_ms(news.named_age_s),
        -1 if news.absent_age_s == float("inf") else age_to_ms(news.absent_age_s),
    )


def limit_from_wire(wire: ttypes.RateLimitNews) -> LimitNews:
    """Return what a thrift message tells of a rate limit; raise ValueError if it is none."""
    # Written so that it is false for nan.
    if not MIN_LIMIT_PER_S <= wire.limit_per_s <= MAX_LIMIT_PER_S:
        raise ValueError(
            f"got a limit of {wire.limit_per_s} a second, "
            f"allowed are {MIN_LIMIT_PER_S} to {MAX_LIMIT_PER_S}"
        )
    absent_age_s = wire.absent_age_ms / MS_PER_S if wire.absent_age_ms >= 0 else float("inf")
    return LimitNews(
        wire.upstream_id,
        wire.started_ms,
        wire.limit_per_s,
        wire.first_age_ms / MS_PER_S,
        wire.named_age_ms / MS_PER_S,
        absent_age_s,
    )


def _age_to_cs(age_s: float) -> int:
    return min(MAX_AGE_CS, math.ceil(max(0.0, age_s) * CS_PER_S))


def engine_to_wire(status: EngineStatus, now_s: float) -> ttypes.EngineNews:
    """Return the thrift message of an engine's status."""
    return ttypes.EngineNews(
        address=status.address,
        born_ms=status.started_ms,
        version=status.version,
        whole=status.is_complete,
        loading=status.is_loading,
        running=status.running,
        queued=status.queued,
        age_ms=age_to_ms(now_s - status.read_s),
        loads_in_ms=_loads_in_ms(status, now_s),
        slowdown=status.slowdown,
    )


def engine_from_wire(wire: ttypes.EngineNews, now_s: float) -> EngineStatus:
    """Return an engine's status with its ages converted to times of the local clock."""
    return EngineStatus(
        address=wire.address,
        started_ms=wire.born_ms,
        version=wire.version,
        is_complete=wire.whole,
        is_loading=wire.loading,
        running=wire.running,
        queued=wire.queued,
        read_s=now_s - wire.age_ms / MS_PER_S,
        loads_at_s=now_s + wire.loads_in_ms / MS_PER_S if wire.loads_in_ms >= 0 else None,
        slowdown=wire.slowdown,
    )


def _loads_in_ms(status: EngineStatus, now_s: float) -> int:
    if status.loads_at_s is None:
        return -1
    return min(MAX_AGE_MS, int(max(0.0, status.loads_at_s - now_s) * MS_PER_S))


def delta_to_wire(delta: Delta, accepts_packed: bool = False) -> ttypes.MirrorDelta:
    """Return the thrift message of a mirror's delta, with long values packed if the peer can."""
    items = [_change_to_wire(change, accepts_packed) for change in delta.changes]
    age_ms = age_to_ms(delta.age_s)
    return ttypes.MirrorDelta(delta.complete_revision, age_ms, delta.is_full, items, delta.era)


def delta_from_wire(wire: ttypes.MirrorDelta) -> Delta:
    """Return the delta that a thrift message contains; raise ValueError for a broken value."""
    changes = tuple(
        Change(item.key, item.revision, None if item.deleted else _value_from_wire(item))
        for item in wire.items
    )
    age_s = wire.age_ms / MS_PER_S
    return Delta(changes, wire.complete_revision, age_s, wire.whole, wire.era)


def _change_to_wire(change: Change, accepts_packed: bool) -> ttypes.MirrorItem:
    value = change.value or b""
    is_packed = accepts_packed and len(value) >= MIN_PACKED_BYTES
    body = _pack(value) if is_packed else value
    return ttypes.MirrorItem(change.key, change.revision, change.value is None, body, is_packed)


# All peers pull the same document one after another.
@functools.lru_cache(maxsize=2)
def _pack(value: bytes) -> bytes:
    return zlib.compress(value, 1)


def _value_from_wire(item: ttypes.MirrorItem) -> bytes:
    if not item.packed:
        return item.value
    unpacker = zlib.decompressobj()
    try:
        value = unpacker.decompress(item.value, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ValueError(f"{item.key}: {error}") from error
    if not unpacker.eof:
        raise ValueError(f"{item.key}: got a value cut short or over {MAX_VALUE_BYTES} bytes")
    return value
