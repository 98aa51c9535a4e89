"""Builders for tests of daisystack and of its adapters."""

from daisystack.testing.builders import (
    build_document,
    build_raw_document,
    build_status,
    build_version,
)

__all__ = ["build_document", "build_raw_document", "build_status", "build_version"]
