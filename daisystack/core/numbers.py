"""Parse numbers that others send."""

from __future__ import annotations

__all__ = ["parse_whole_number"]

# The messages between processes carry whole numbers in 64 bits.
MAX_DIGITS = 18


def parse_whole_number(text: bytes) -> int | None:
    """Return the number that ASCII digits write, None for anything else and for over 18 digits."""
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None
