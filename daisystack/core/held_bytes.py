"""Bound the bytes of requests and answers that a process holds at a time."""

from __future__ import annotations

from attrs import define

__all__ = ["CALLS_SHARE", "HeldBytes", "Holding"]

# Bytes are held up to twice while they are parsed and joined, and the rest of the memory belongs to
# the process itself and to the buffers of its sockets.
MEMORY_SHARE = 0.2
# Of responses to an entry's own calls, apart from what its callers and upstreams make it hold.
CALLS_SHARE = 0.1


@define
class HeldBytes:
    """Budget of the bytes that a process holds for callers and upstreams together."""

    limit_bytes: float = float("inf")
    held_bytes: int = 0
    # How often bytes were not held for lack of room.
    turned_away: int = 0

    @classmethod
    def within_memory(cls, memory_bytes: float, share: float = MEMORY_SHARE) -> HeldBytes:
        """Return the budget of a process with so much memory; 0 bytes set no limit."""
        return cls(memory_bytes * share if memory_bytes else float("inf"))

    def fits(self, count_bytes: int) -> bool:
        """Return whether so many more bytes may be held, and count it if not."""
        if self.held_bytes + count_bytes <= self.limit_bytes:
            return True
        self.turned_away += 1
        return False


@define
class Holding:
    """Bytes that one request, answer or connection holds of a budget."""

    budget: HeldBytes
    held_bytes: int = 0

    def try_grow(self, count_bytes: int) -> bool:
        """Hold more bytes; return False if they don't fit."""
        if not self.budget.fits(count_bytes):
            return False
        self.held_bytes += count_bytes
        self.budget.held_bytes += count_bytes
        return True

    def try_resize(self, count_bytes: int) -> bool:
        """Hold exactly so many bytes; return False if they don't fit."""
        if count_bytes > self.held_bytes:
            return self.try_grow(count_bytes - self.held_bytes)
        self.shrink(self.held_bytes - count_bytes)
        return True

    def move_to(self, other: Holding) -> None:
        """Let another holding of the budget hold these bytes instead of its own."""
        other.release()
        other.held_bytes, self.held_bytes = self.held_bytes, 0

    def shrink(self, count_bytes: int) -> None:
        """Give bytes back."""
        self.held_bytes -= count_bytes
        self.budget.held_bytes -= count_bytes

    def release(self) -> None:
        """Give all bytes back."""
        self.shrink(self.held_bytes)
