"""Generate synthetic weights of a given size from a seed."""

from __future__ import annotations

import random

from attrs import frozen

from daisystack.core.manifests import ChunkRef, Manifest, digest_bytes, dump_manifest

__all__ = ["SyntheticVersion", "generate_version"]


@frozen(eq=False)
class SyntheticVersion:
    """Random weights of one version: its manifest and its chunks by digest."""

    model: str
    version: str
    manifest_digest: str
    manifest_body: bytes
    chunks: dict[str, bytes]

    @property
    def size_bytes(self) -> int:
        """Return the total size of the chunks."""
        return sum(len(body) for body in self.chunks.values())


def generate_version(
    model: str,
    version: str,
    size_bytes: int,
    chunk_bytes: int,
    seed: int,
    shared_with: SyntheticVersion | None = None,
    shared_part: float = 0.0,
) -> SyntheticVersion:
    """Generate chunks from a seed; a shared_part of them is copied from another version."""
    rng = random.Random(f"{model}/{version}/{seed}")
    count = max(1, size_bytes // chunk_bytes)
    bodies = [rng.randbytes(chunk_bytes) for _ in range(count)]
    if shared_with is not None:
        for index, body in enumerate(list(shared_with.chunks.values())[: int(count * shared_part)]):
            bodies[index] = body
    refs = tuple(ChunkRef(digest_bytes(body), len(body)) for body in bodies)
    manifest_body = dump_manifest(Manifest(model, version, refs))
    chunks = {ref.digest: body for ref, body in zip(refs, bodies, strict=True)}
    return SyntheticVersion(model, version, digest_bytes(manifest_body), manifest_body, chunks)
