"""Store verified chunks in bounded memory."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import define, field

from daisystack.core.manifests import ChunkRef, verify_chunk

__all__ = ["ChunkStore", "StoreFull"]


class StoreFull(Exception):
    """A chunk does not fit beside the chunks in use."""


@define
class ChunkStore:
    """Map digests to verified bytes; when full, evict chunks that no version in use needs."""

    max_bytes: int
    held_bytes: int = 0
    _bodies: dict[str, bytes] = field(factory=dict)
    _in_use: set[str] = field(factory=set)

    def __contains__(self, digest: object) -> bool:
        return digest in self._bodies

    def get(self, digest: str) -> bytes | None:
        """Return the bytes of a chunk, or None when it is not held."""
        return self._bodies.get(digest)

    def mark_in_use(self, digests: Iterable[str]) -> None:
        """Mark the chunks in use; only the others may be evicted to free memory."""
        self._in_use = set(digests)

    def put(self, chunk: ChunkRef, body: bytes) -> None:
        """Verify and store a chunk; raises ChunkFault or StoreFull."""
        verify_chunk(chunk, body)
        if chunk.digest in self._bodies:
            return
        self._evict_unused(len(body))
        self._bodies[chunk.digest] = body
        self.held_bytes += len(body)

    def _evict_unused(self, size_bytes: int) -> None:
        for digest in list(self._bodies):
            if self.held_bytes + size_bytes <= self.max_bytes:
                return
            if digest not in self._in_use:
                self.held_bytes -= len(self._bodies.pop(digest))
        if self.held_bytes + size_bytes > self.max_bytes:
            raise StoreFull(
                f"chunk does not fit: {self.held_bytes} of {self.max_bytes} bytes in use"
            )
