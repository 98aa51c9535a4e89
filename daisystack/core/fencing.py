"""Number the orders to an engine so that a newer agent's or revision's order wins."""

from __future__ import annotations

__all__ = ["REVISION_SHIFT", "next_fence", "revision_of"]

REVISION_SHIFT = 24


def next_fence(revision: int, last_fence: int) -> int:
    """Return a number above every order seen, and above all of earlier revisions."""
    return max(revision << REVISION_SHIFT, last_fence + 1)


def revision_of(fence: int) -> int:
    """Return the revision in force when a fencing number was made, at least."""
    return fence >> REVISION_SHIFT
