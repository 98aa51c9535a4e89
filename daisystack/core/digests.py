"""Name bytes by their content."""

from __future__ import annotations

import hashlib

__all__ = ["digest_bytes"]


def digest_bytes(body: bytes) -> str:
    """Return the SHA-256 digest of a body in hex."""
    return hashlib.sha256(body).hexdigest()
