"""Name the events that the daemons log."""

from __future__ import annotations

from attrs import frozen

__all__ = [
    "AttemptEnded",
    "CallerRefused",
    "ChunkRejected",
    "DaemonStarted",
    "DaemonStopped",
    "DaemonStopping",
    "DependencyLost",
    "DependencyRegained",
    "DirectRequestEnded",
    "OrderAnswered",
    "PeerHeard",
    "PeerSilent",
    "PolicyTaken",
    "PublicationIgnored",
    "PeerPullFailed",
    "RequestEnded",
    "RolloutDone",
    "RolloutStarted",
    "ServiceReadFailed",
    "SettingsKept",
    "SettingsReloaded",
    "TargetTaken",
    "TargetTold",
    "UpstreamChanged",
    "UpstreamGone",
    "WeightSourceFailed",
    "WeightsHeld",
    "WeightsStaged",
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


@frozen
class DependencyLost:
    """Log that something this process depends on no longer answers, and how old its word is."""

    dependency: str
    error: str
    belief_age_s: float


@frozen
class DependencyRegained:
    """Log that a dependency answers again."""

    dependency: str
    belief_age_s: float


@frozen
class PeerSilent:
    """Log that a peer does not answer."""

    peer: str
    error: str


@frozen
class PeerHeard:
    """Log that a peer answers, for the first time or again."""

    peer: str
    took_s: float


@frozen
class CallerRefused:
    """Log that a caller's bytes were refused before they were a request."""

    status: int
    reason: str


@frozen
class PolicyTaken:
    """Log that another version of the routes, keys and limits is in force here."""

    before: int
    after: int
    revision: int
    belief_age_s: float


@frozen
class TargetTaken:
    """Log that another version of a model's weights is wanted."""

    model: str
    version: int
    revision: int


@frozen
class UpstreamChanged:
    """Log what is now published of an upstream."""

    upstream: str
    service: str
    address: str
    is_ready: bool
    version: int
    revision: int


@frozen
class UpstreamGone:
    """Log that an upstream is no longer published."""

    upstream: str
    revision: int


@frozen
class PublicationIgnored:
    """Log that a published value can't be read and names nothing to use."""

    key: str
    revision: int
    error: str


@frozen
class AttemptEnded:
    """Log how one attempt of a request at an upstream ended, and what was known of it then."""

    request_id: str
    attempt: int
    upstream: str
    end: str
    reason: str
    status: int
    in_flight: int
    version: int
    took_s: float


@frozen
class DirectRequestEnded:
    """Log the end of a caller's request and the beliefs that decided it."""

    request_id: str
    workspace: str
    route: str
    service: str
    outcome: str
    status: int
    verdict: str
    reason: str
    spent_before_s: float
    attempts: int
    upstream: str
    policy_version: int
    belief_age_s: float
    upstream_in_flight: int
    prompt_tokens: int
    predicted_first_event_s: float
    first_event_s: float
    took_s: float


@frozen
class WeightsHeld:
    """Log that an entry holds its share of a version."""

    model: str
    version: int
    pieces: int
    took_s: float


@frozen
class WeightsStaged:
    """Log that every piece of a version lies verified beside the engine."""

    model: str
    version: int
    took_s: float


@frozen
class OrderAnswered:
    """Log an order to the engine and what it said."""

    model: str
    before: int
    after: int
    answer: str
    took_s: float


@frozen
class SettingsReloaded:
    """Log that changed settings are in force."""

    path: str


@frozen
class SettingsKept:
    """Log that changed settings are faulty and the former ones stay."""

    faults: str


@frozen
class TargetTold:
    """Log that a peer told of another version of a model's weights."""

    model: str
    version: int
    peer: str
