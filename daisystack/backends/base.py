"""Define what the daemons need of the platform; adapters meet these and nothing else."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from daisystack.core.config_keeper import PublishedDocument
from daisystack.core.direct_request import DirectAnswer, DirectRequest
from daisystack.core.gate import EngineReport
from daisystack.core.mirror import Change, Snapshot
from daisystack.core.placement import DirectUpstream
from daisystack.core.register import ModelRef
from daisystack.core.targets import WeightTarget
from daisystack.core.traffic import TrafficPolicy
from daisystack.core.weight_pieces import EngineState, PieceList

__all__ = [
    "BackendError",
    "ConfigService",
    "LiveInstance",
    "LiveList",
    "LoadOrder",
    "LocalEngine",
    "ModelEngine",
    "OrderAnswer",
    "Publication",
    "PublicationReader",
    "InvalidPublication",
    "PublishedStore",
    "RequestDialect",
    "RateLimited",
    "WeightSource",
]


class BackendError(Exception):
    """Say that a part of the platform did not answer as its contract says."""


class InvalidPublication(ValueError):
    """Say why a published value can't be used."""


class VersionWithdrawn(BackendError):
    """Say that an origin no longer has a version."""


class RateLimited(BackendError):
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

    def watch(self, after_revision: int, wait_s: float) -> PublishedDocument | None:
        """Wait for a newer document; None when there is none; raises BackendError."""


class LiveList(Protocol):
    """Read the platform's lagging list of instances."""

    def read(self) -> tuple[LiveInstance, ...]:
        """Return the list; raises BackendError."""


class PublishedStore(Protocol):
    """Read what operators publish, key by key."""

    def read(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix, linearizably; raises BackendError."""

    def watch(self, prefix: str, after_revision: int, wait_s: float) -> tuple[Change, ...]:
        """Wait for changes beyond a revision, which may be missed; raises BackendError."""


Publication = TrafficPolicy | DirectUpstream | WeightTarget


class PublicationReader(Protocol):
    """Turn published values into what they mean."""

    def read(self, change: Change) -> Publication | None:
        """Return what a key holds, None for a key of no concern; raises InvalidPublication."""

    def upstream_id(self, key: str) -> str | None:
        """Return the upstream that a key is about."""


class RequestDialect(Protocol):
    """Translate between HTTP headers and the product's requests and answers."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        arrived_s: float,
    ) -> DirectRequest:
        """Return the request; raises RequestRefused."""

    def write_request(
        self,
        request: DirectRequest,
        upstream: DirectUpstream,
        workspace: str | None,
        time_left_s: float,
        priority: int | None,
        exact_version: int | None,
        resume_after: str | None,
    ) -> list[tuple[bytes, bytes]]:
        """Return the headers of an attempt."""

    def read_answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> DirectAnswer:
        """Return what an answer says of itself."""

    def echo_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the headers that an answer of our own bears."""


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


class WeightOrigin(Protocol):
    """Read the pieces of a model's weights from where they are published."""

    def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version; raises BackendError."""

    def piece(self, model: str, version: int, index: int) -> bytes:
        """Return a piece's bytes, unverified; raises BackendError."""


class LocalEngine(Protocol):
    """Fill, order and watch the engine on the own machine."""

    def state(self) -> EngineState:
        """Return what the engine says of itself; raises BackendError."""

    def staged_indexes(self, model: str) -> frozenset[int]:
        """Return the indexes of the pieces that lie staged; raises BackendError."""

    def read_staged(self, model: str, index: int) -> bytes | None:
        """Return a staged piece as it lies there now; raises BackendError."""

    def stage(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece over whatever lies there; raises BackendError."""

    def order_load(self, model: str, version: int, order_count: int) -> OrderAnswer:
        """Order what is staged to be loaded, unless another order came; raises BackendError."""
