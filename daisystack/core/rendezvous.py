"""Rank members for a key by rendezvous hashing, so that all processes agree without messages."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import lru_cache

__all__ = ["hash_to_unit_interval", "rank_members"]

HASH_BYTES = 8
HASH_SPACE = float(1 << (8 * HASH_BYTES))
# More than the members of a zone times its duties.
CACHED_HASHES = 1024


@lru_cache(maxsize=CACHED_HASHES)
def hash_to_unit_interval(*parts: str) -> float:
    """Hash strings uniformly onto [0, 1)."""
    joined = "\x00".join(parts).encode()
    digest = hashlib.blake2b(joined, digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / HASH_SPACE


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Sort members by their rendezvous hash for the key, best first."""
    return sorted(members, key=lambda member: (hash_to_unit_interval(key, member), member))
