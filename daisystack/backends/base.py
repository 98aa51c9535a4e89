"""Interfaces of the platform's services that the daemons use and adapters implement."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol, TypeAlias

from attrs import frozen

if TYPE_CHECKING:
    from daisystack.core.config_keeper import PublishedDocument
    from daisystack.core.direct_request import DirectAnswer, DirectRequest
    from daisystack.core.evacuations import ZoneEvacuation
    from daisystack.core.gate import EngineReport
    from daisystack.core.mirror import Change, DocumentVersion, Snapshot
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
    """A service of the platform did not respond, or not according to its contract."""


class InvalidPublication(ValueError):
    """A published value is invalid; the message says why."""


class VersionWithdrawn(BackendError):
    """The origin no longer has the requested version."""


class RateLimited(BackendError):
    """A weight source rejected a request because of its rate limit; retry after retry_after_s."""

    def __init__(self, retry_after_s: float) -> None:
        super().__init__(f"rate limited, retry after {retry_after_s} s")
        self.retry_after_s = retry_after_s


@frozen
class LiveInstance:
    """One entry of the platform's list of instances."""

    id: str
    leaving: bool


@frozen
class LoadOrder:
    """Order to an engine to serve exactly these weights, which are staged at a URL."""

    fence: int
    weights: frozenset[ModelRef]
    staged_url: str


@frozen
class OrderAnswer:
    """An engine's answer to an order."""

    accepted: bool
    reason: str


class ConfigService(Protocol):
    """Read and watch the published document."""

    def watch(self, after_revision: int, wait_s: float) -> PublishedDocument | None:
        """Wait for a newer document; return None if there is none; raise BackendError."""


class LiveList(Protocol):
    """Read the platform's list of instances, which lags behind."""

    def read(self) -> tuple[LiveInstance, ...]:
        """Return the list; raise BackendError."""


class PublishedStore(Protocol):
    """Read the keys and values that operators publish."""

    def read(self, prefix: str) -> Snapshot:
        """Return all keys under a prefix, linearizably; raise BackendError."""

    def watch(
        self, prefix: str, after_revision: int, wait_s: float, era: int
    ) -> tuple[Change, ...]:
        """Wait for changes after a revision of an era, some of which may be missed.

        Raise BackendError, also if the store is in another era.
        """


Publication: TypeAlias = "TrafficPolicy | DirectUpstream | WeightTarget | ZoneEvacuation"


class PublicationReader(Protocol):
    """Decode published values."""

    def read(self, change: Change) -> Publication | None:
        """Return the decoded value, None for an unrelated key; raise InvalidPublication."""

    def upstream_id(self, key: str) -> str | None:
        """Return the id of the upstream that a key describes, None for other keys."""

    def document_version(self, key: str, value: bytes) -> DocumentVersion | None:
        """Return the version that a value states itself, None if it states none."""


class RequestDialect(Protocol):
    """Convert between HTTP headers and direct requests and answers."""

    def read_request(
        self,
        method: str,
        target: str,
        headers: tuple[tuple[bytes, bytes], ...],
        body: bytes,
        arrived_s: float,
    ) -> DirectRequest:
        """Return the request; raise InvalidRequest."""

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
        """Return the headers of an attempt at an upstream."""

    def read_answer(self, status: int, headers: tuple[tuple[bytes, bytes], ...]) -> DirectAnswer:
        """Return the answer that a status and headers describe, without its body."""

    def echo_headers(self, request_id: str) -> list[tuple[bytes, bytes]]:
        """Return the headers that a local answer carries to identify its request."""


class WeightSource(Protocol):
    """Read manifests and chunks from the weight store or the origin."""

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes, unverified; raise BackendError."""

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes, unverified; raise BackendError."""


class ModelEngine(Protocol):
    """Read the state of one model engine and send orders to it."""

    def report(self) -> EngineReport:
        """Return the engine's report of what it serves; raise BackendError."""

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Send an order and return its answer; raise BackendError if the answer is lost."""


class WeightOrigin(Protocol):
    """Read the pieces of a model's weights from the origin, which publishes them."""

    def piece_list(self, model: str, version: int) -> PieceList:
        """Return the digests of a version; raise BackendError, VersionWithdrawn if it is gone."""

    def piece(self, model: str, version: int, index: int) -> bytes:
        """Return a piece's bytes, unverified; raise BackendError, VersionWithdrawn if gone."""


class LocalEngine(Protocol):
    """Read the state of the engine on this machine, stage pieces and order loads."""

    def state(self) -> EngineState:
        """Return the state that the engine reports; raise BackendError."""

    def staged_indexes(self, model: str) -> frozenset[int]:
        """Return the indexes of the staged pieces; raise BackendError."""

    def read_staged(self, model: str, index: int) -> bytes | None:
        """Return the current bytes of a staged piece, None if unavailable; raise BackendError."""

    def stage(self, model: str, index: int, body: bytes) -> None:
        """Stage a piece, replacing the one at its index; raise BackendError."""

    def order_load(
        self, model: str, version: int, order_count: int, send_by_s: float
    ) -> OrderAnswer:
        """Order a load of the staged pieces; raise BackendError, also after send_by_s.

        The engine refuses unless it has begun exactly order_count orders so far.
        """
