"""Tell time in which this thread ran or waited from time in which it got no processor."""

from __future__ import annotations

import time
from pathlib import Path

__all__ = ["own_time_s", "read_processor_wait_s"]

SCHEDULING = Path("/proc/thread-self/schedstat")
NS_PER_S = 1e9


def read_processor_wait_s() -> float:
    """Return for how long this thread has been ready without a processor, 0 if unknown."""
    try:
        return int(SCHEDULING.read_text().split()[1]) / NS_PER_S
    except (OSError, ValueError, IndexError):
        return 0.0


def own_time_s() -> float:
    """Return a clock in s that stands still only while this thread waits for a processor.

    It advances while the thread computes, sleeps or is blocked in a call.
    """
    return time.monotonic() - read_processor_wait_s()
