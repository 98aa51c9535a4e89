"""Fencing tokens that let an engine prefer the orders of newer agents and revisions."""

from __future__ import annotations

__all__ = ["REVISION_SHIFT", "next_fence", "revision_of"]

REVISION_SHIFT = 24


def next_fence(revision: int, last_fence: int) -> int:
    """Return a fencing token above the last one and above all tokens of earlier revisions."""
    return max(revision << REVISION_SHIFT, last_fence + 1)


def revision_of(fence: int) -> int:
    """Return the revision that a fencing token was issued for, or a later one."""
    return fence >> REVISION_SHIFT
