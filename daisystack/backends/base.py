"""Define what the daemons need of the platform; adapters meet these and nothing else."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from daisystack.core.config_keeper import Published
from daisystack.core.gate import EngineReport
from daisystack.core.register import ModelRef

__all__ = [
    "BackendError",
    "ConfigService",
    "LiveInstance",
    "LiveList",
    "LoadOrder",
    "ModelEngine",
    "OrderAnswer",
    "RateRefused",
    "WeightSource",
]


class BackendError(Exception):
    """Say that a part of the platform did not answer as its contract says."""


class RateRefused(BackendError):
    """Say that a weight source refused by rate, and when to come back."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"refused by rate, come back in {retry_after_s} s")
        self.retry_after_s = retry_after_s


@frozen
class LiveInstance:
    """Hold one line of the platform's list of instances."""

    id: str
    leaving: bool


@frozen
class LoadOrder:
    """Order an engine to serve exactly these weights, staged at a URL."""

    fence: int
    weights: frozenset[ModelRef]
    staged_url: str


@frozen
class OrderAnswer:
    """Hold an engine's answer to an order."""

    accepted: bool
    reason: str


class ConfigService(Protocol):
    """Read and watch the published document."""

    def watch(self, after_revision: int, wait_s: float) -> Published | None:
        """Wait for a newer document; None when there is none; raises BackendError."""


class LiveList(Protocol):
    """Read the platform's lagging list of instances."""

    def read(self) -> tuple[LiveInstance, ...]:
        """Return the list; raises BackendError."""


class WeightSource(Protocol):
    """Read manifests and chunks from the store or the origin."""

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes, unverified; raises BackendError."""

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes, unverified; raises BackendError."""


class ModelEngine(Protocol):
    """Watch and order one model engine."""

    def report(self) -> EngineReport:
        """Return what the engine says it serves; raises BackendError."""

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Send an order; raises BackendError when its answer is lost."""
