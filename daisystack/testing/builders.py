"""Build documents, versions and statuses for tests."""

from __future__ import annotations

import json

from daisystack.core.peers import PeerStatus
from daisystack.core.register import SiteDocument
from daisystack.core.validation import read_document
from daisystack.standins.site import SiteLayout, build_site_document
from daisystack.standins.weights import SyntheticVersion, generate_version

__all__ = ["build_document", "build_raw_document", "build_status", "build_version"]


def build_version(version: str = "a", size_bytes: int = 4000, chunk_bytes: int = 500):
    """Return a small synthetic version of the model that built documents list."""
    return generate_version("assistant", version, size_bytes, chunk_bytes, seed=1)


def build_raw_document(
    served_version: str = "a", versions: list[SyntheticVersion] | None = None, **layout: object
) -> dict:
    """Return a published document as plain JSON values, which a test may modify."""
    versions = versions or [build_version("a"), build_version("b")]
    return build_site_document(SiteLayout("127.0.0.1", 7000, **layout), versions, served_version)


def build_document(served_version: str = "a", **layout: object) -> SiteDocument:
    """Return a parsed and validated document."""
    return read_document(json.dumps(build_raw_document(served_version, **layout)).encode())


def build_status(instance_id: str, **fields: object) -> PeerStatus:
    """Return the status in a heartbeat; keyword arguments override its default fields."""
    defaults = {"incarnation": "1", "uptime_s": 100.0, "revision": 1, "gate_open": True}
    return PeerStatus(instance_id, **(defaults | fields))
