"""Name the events that the daemons log."""

from __future__ import annotations

from attrs import frozen

__all__ = [
    "ChunkRejected",
    "DaemonStarted",
    "DaemonStopped",
    "DaemonStopping",
    "PeerPullFailed",
    "RequestEnded",
    "RolloutDone",
    "RolloutStarted",
    "ServiceReadFailed",
    "WeightSourceFailed",
]


@frozen
class DaemonStarted:
    """Log that a daemon listens."""

    role: str
    zone: str
    http_address: str
    peer_address: str
    incarnation: str


@frozen
class DaemonStopping:
    """Log that a daemon drains before it stops."""

    in_flight: int
    linger_s: float


@frozen
class DaemonStopped:
    """Log that a daemon has stopped and how many requests it cut off."""

    cut_off: int


@frozen
class ServiceReadFailed:
    """Log that the config service or the live list did not answer."""

    error: str


@frozen
class PeerPullFailed:
    """Log that a document could not be pulled from a peer."""

    peer: str
    error: str


@frozen
class RolloutStarted:
    """Log that weights are being fetched."""

    model: str
    version: str
    chunks_wanted: int
    chunks_held: int


@frozen
class RolloutDone:
    """Log that all chunks of a version are held and verified."""

    model: str
    version: str
    took_s: float
    reused_bytes: int


@frozen
class ChunkRejected:
    """Log that a chunk or manifest was not what its digest says."""

    source: str
    error: str


@frozen
class WeightSourceFailed:
    """Log that the store or the origin did not give what was asked."""

    source: str
    error: str


@frozen
class RequestEnded:
    """Log the end of a request."""

    request_id: str
    workspace: str
    target: str
    verdict: str
    end: str
    attempts: int
    took_s: float
