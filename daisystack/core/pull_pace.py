"""Pace pulls of weight pieces so that requests get a share of a slow link."""

from __future__ import annotations

__all__ = ["slice_pause_s"]

# Requests share the link; a pull that saturates it delays each of them by a slice or more.
MAX_LINK_SHARE = 0.97


def slice_pause_s(slice_bytes: int, link_bytes_per_s: float, took_s: float) -> float:
    """Return how long to pause after a slice so that pulls alone never saturate the link."""
    if link_bytes_per_s <= 0:
        return 0.0
    return max(0.0, slice_bytes / (link_bytes_per_s * MAX_LINK_SHARE) - took_s)
