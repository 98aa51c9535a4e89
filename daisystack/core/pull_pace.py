"""Leave room for requests on a narrow link while pieces of weights are pulled over it."""

from __future__ import annotations

__all__ = ["slice_pause_s"]

# Requests share the link; a pull that fills it makes each of them wait for a slice or more.
MAX_LINK_SHARE = 0.97


def slice_pause_s(slice_bytes: int, link_bytes_per_s: float, took_s: float) -> float:
    """Return how long to pause after a slice so that the link is never filled by pulls alone."""
    if link_bytes_per_s <= 0:
        return 0.0
    return max(0.0, slice_bytes / (link_bytes_per_s * MAX_LINK_SHARE) - took_s)
