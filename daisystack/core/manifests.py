"""Describe the weights of a version as content-addressed chunks."""

from __future__ import annotations

import cattrs
from attrs import frozen
from cattrs.preconf.json import make_converter

from daisystack.core.digests import digest_bytes

__all__ = [
    "ChunkFault",
    "ChunkRef",
    "MAX_CHUNK_BYTES",
    "Manifest",
    "digest_bytes",
    "dump_manifest",
    "read_manifest",
    "verify_chunk",
]

# A chunk must fit one frame of the peer protocol.
MAX_CHUNK_BYTES = 8 * 1024 * 1024

_converter = make_converter(forbid_extra_keys=True)


class ChunkFault(ValueError):
    """Bytes do not match the requested chunk or manifest."""


@frozen
class ChunkRef:
    """SHA-256 digest and size of a chunk."""

    digest: str
    size_bytes: int


@frozen
class Manifest:
    """Chunks of one version, in order."""

    model: str
    version: str
    chunks: tuple[ChunkRef, ...]

    @property
    def size_bytes(self) -> int:
        """Return the total size of the version."""
        return sum(chunk.size_bytes for chunk in self.chunks)


def dump_manifest(manifest: Manifest) -> bytes:
    """Serialize a manifest; the manifest digest is the digest of these bytes."""
    return _converter.dumps(manifest).encode()


def read_manifest(body: bytes, digest: str) -> Manifest:
    """Parse and check a manifest.

    Raises ChunkFault when the digest does not match or the manifest is invalid.
    """
    if digest_bytes(body) != digest:
        raise ChunkFault(f"got a manifest with digest {digest_bytes(body)}, expected {digest}")
    try:
        manifest = _converter.loads(body, Manifest)
    except (ValueError, cattrs.BaseValidationError) as error:
        raise ChunkFault(f"cannot parse manifest {digest}: {error}") from error
    for chunk in manifest.chunks:
        if not 0 < chunk.size_bytes <= MAX_CHUNK_BYTES:
            raise ChunkFault(
                f"listed chunk has {chunk.size_bytes} bytes, allowed are 1 to {MAX_CHUNK_BYTES}"
            )
    return manifest


def verify_chunk(chunk: ChunkRef, body: bytes) -> None:
    """Check a chunk's size and digest; raises ChunkFault on a mismatch."""
    if len(body) != chunk.size_bytes:
        raise ChunkFault(f"got a chunk of {len(body)} bytes, expected {chunk.size_bytes}")
    if digest_bytes(body) != chunk.digest:
        raise ChunkFault(f"digest of the received bytes does not match chunk {chunk.digest}")
