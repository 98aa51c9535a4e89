"""Read the clocks; functions that make decisions take the time as an argument instead."""

from __future__ import annotations

import secrets
import time

__all__ = ["new_incarnation", "now_s", "wall_clock_s"]

INCARNATION_TIME_DIGITS = 12


def now_s() -> float:
    """Return the monotonic time, which includes time while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_clock_s() -> float:
    """Return the wall-clock time, which is for display only and never for decisions."""
    return time.time()


def new_incarnation() -> str:
    """Return a new incarnation id; later ones on the same machine usually sort higher."""
    started_ms = int(time.time() * 1000)
    return f"{started_ms:0{INCARNATION_TIME_DIGITS}x}{secrets.token_hex(4)}"
