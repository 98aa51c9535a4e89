"""Measure the memory that Python objects take at most."""

from __future__ import annotations

import contextlib
import tracemalloc
from collections.abc import Iterator

from attrs import define

__all__ = ["MemoryProbe", "measure_memory"]


@define
class MemoryProbe:
    """Most bytes that were allocated at a time while a block ran, beyond those before it."""

    peak_bytes: int = 0


@contextlib.contextmanager
def measure_memory() -> Iterator[MemoryProbe]:
    """Measure the peak of the memory that Python allocates while the block runs."""
    probe = MemoryProbe()
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.reset_peak()
        yield probe
        probe.peak_bytes = tracemalloc.get_traced_memory()[1] - before_bytes
    finally:
        tracemalloc.stop()
