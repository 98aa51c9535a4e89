"""Events that the daemons log.

The class name in snake case is the event name, and the attributes are the logged fields. Events are
not compared or printed otherwise, so they get no methods for that, which halves their time to load.
"""

from __future__ import annotations

from attrs import frozen

__all__ = [
    "AttemptEnded",
    "BeliefConfirmed",
    "BeliefTooOld",
    "CallerRefused",
    "ChunkRejected",
    "CopySlow",
    "ColdUpstreamsKnown",
    "ColdUpstreamsUnsure",
    "CrashCounted",
    "DaemonStarted",
    "DaemonStopped",
    "DaemonStopping",
    "DependencyLost",
    "DependencyRegained",
    "DirectRequestEnded",
    "ExpiredVersionStarted",
    "OrderAnswered",
    "OrderPostponed",
    "PartHeld",
    "PartReleased",
    "PeerHeard",
    "PeerSilent",
    "PolicyTaken",
    "PublicationIgnored",
    "PeerPullFailed",
    "RequestEnded",
    "RequestHeld",
    "RolloutDone",
    "RolloutStarted",
    "ServiceReadFailed",
    "SettingsKept",
    "SettingsReloaded",
    "StoreEraChanged",
    "TargetTaken",
    "TargetTold",
    "UpstreamChanged",
    "UpstreamGone",
    "UpstreamLeaving",
    "UpstreamCold",
    "UpstreamNoticeIgnored",
    "UpstreamPaused",
    "UpstreamRateLimitEnded",
    "UpstreamRateLimited",
    "WeightSourceFailed",
    "WeightsHeld",
    "WeightsAbandoned",
    "WeightsStaged",
]


@frozen(eq=False, repr=False)
class DaemonStarted:
    """A daemon has started and accepts connections."""

    role: str
    zone: str
    http_address: str
    peer_address: str
    incarnation: str


@frozen(eq=False, repr=False)
class DaemonStopping:
    """A daemon drains before it stops."""

    in_flight: int
    linger_s: float


@frozen(eq=False, repr=False)
class DaemonStopped:
    """A daemon has stopped; cut_off is the number of requests that were aborted."""

    cut_off: int


@frozen(eq=False, repr=False)
class ServiceReadFailed:
    """The config service or the live list did not answer."""

    error: str


@frozen(eq=False, repr=False)
class PeerPullFailed:
    """A document could not be pulled from a peer."""

    peer: str
    error: str


@frozen(eq=False, repr=False)
class RolloutStarted:
    """The transfer of a version's weights has started."""

    model: str
    version: str
    chunks_wanted: int
    chunks_held: int


@frozen(eq=False, repr=False)
class RolloutDone:
    """All chunks of a version are held and verified."""

    model: str
    version: str
    took_s: float
    reused_bytes: int


@frozen(eq=False, repr=False)
class ChunkRejected:
    """A chunk or manifest was rejected, for example because it does not match its digest."""

    source: str
    error: str


@frozen(eq=False, repr=False)
class ListReadsDiffer:
    """No two reads of a version's list of pieces were equal, so none is used."""

    model: str
    version: int
    reads: int


@frozen(eq=False, repr=False)
class PieceListReplaced:
    """A list whose pieces did not match was replaced by the one that its source has now."""

    model: str
    version: int
    fingerprint: str
    new_fingerprint: str


@frozen(eq=False, repr=False)
class WeightSourceFailed:
    """The store or the origin did not return the requested data."""

    source: str
    error: str


@frozen(eq=False, repr=False)
class RequestEnded:
    """A request has ended."""

    request_id: str
    workspace: str
    target: str
    verdict: str
    end: str
    attempts: int
    took_s: float


@frozen(eq=False, repr=False)
class DependencyLost:
    """A dependency no longer answers; belief_age_s is the age of its last known state."""

    dependency: str
    error: str
    belief_age_s: float


@frozen(eq=False, repr=False)
class DependencyRegained:
    """A dependency answers again."""

    dependency: str
    belief_age_s: float


@frozen(eq=False, repr=False)
class StoreEraChanged:
    """The store came back from an older copy; held_count values are kept until it confirms them."""

    prefix: str
    era_before: int
    era: int
    held_count: int


@frozen(eq=False, repr=False)
class BeliefTooOld:
    """A copy of published documents is too old for a request; heard_age_s is the peers' age."""

    prefix: str
    state: str
    belief_age_s: float
    heard_age_s: float


@frozen(eq=False, repr=False)
class BeliefConfirmed:
    """All copies of published documents are recent enough again."""

    belief_age_s: float


@frozen(eq=False, repr=False)
class CopySlow:
    """A copy of published documents took long to arrive from the store or a peer."""

    prefix: str
    source: str
    took_s: float


@frozen(eq=False, repr=False)
class PeerSilent:
    """A peer does not answer."""

    peer: str
    error: str


@frozen(eq=False, repr=False)
class PeerHeard:
    """A peer answers, for the first time or again."""

    peer: str
    took_s: float


@frozen(eq=False, repr=False)
class CallerRefused:
    """Bytes from a caller were rejected before they formed a request."""

    status: int
    reason: str


@frozen(eq=False, repr=False)
class PolicyTaken:
    """Another version of the routes, keys and limits is in force in this process."""

    before: int
    after: int
    revision: int
    belief_age_s: float


@frozen(eq=False, repr=False)
class TargetTaken:
    """Another version of a model's weights is the target."""

    model: str
    version: int
    revision: int


@frozen(eq=False, repr=False)
class UpstreamChanged:
    """The published state of an upstream has changed."""

    upstream: str
    service: str
    address: str
    is_ready: bool
    version: int
    revision: int


@frozen(eq=False, repr=False)
class UpstreamGone:
    """An upstream is no longer published."""

    upstream: str
    revision: int


@frozen(eq=False, repr=False)
class ZoneEvacuated:
    """Requests are no longer sent to the upstreams of a zone, as its operators ordered."""

    zone: str
    revision: int
    age_s: float


@frozen(eq=False, repr=False)
class ZoneReturned:
    """Requests may be sent to the upstreams of a zone again."""

    zone: str
    revision: int


@frozen(eq=False, repr=False)
class DirectoryOutsideHomes:
    """Callers of a host are directed to entries outside its homes, as none is live in them."""

    host: str
    zone: str
    region: str
    homes: str
    entries: int


@frozen(eq=False, repr=False)
class UpstreamLeaving:
    """An upstream said in a response that it leaves; it gets no more requests."""

    upstream: str
    started_ms: int


@frozen(eq=False, repr=False)
class UpstreamPaused:
    """An upstream asked for a pause, during which it gets no requests."""

    upstream: str
    started_ms: int
    pause_s: float


@frozen(eq=False, repr=False)
class UpstreamRateLimited:
    """An upstream takes limit_per_s requests from all entries together; it was -1 without a limit.

    source is "answer", or the id of the entry that told of it.
    """

    upstream: str
    started_ms: int
    limit_per_s: float
    before_per_s: float
    source: str


@frozen(eq=False, repr=False)
class UpstreamRateLimitEnded:
    """An upstream no longer names a limit."""

    upstream: str
    started_ms: int
    before_per_s: float
    source: str


@frozen(eq=False, repr=False)
class UpstreamCold:
    """An upstream is cold for cold_left_s; this entry may send it part requests a second."""

    upstream: str
    started_ms: int
    cold_left_s: float
    part: int
    record_age_s: float


@frozen(eq=False, repr=False)
class UpstreamWarm:
    """An upstream that was seen to be cold for_s ago no longer is, or is no longer published."""

    upstream: str
    started_ms: int
    for_s: float


@frozen(eq=False, repr=False)
class ColdUpstreamsUnsure:
    """The records are too old to tell who is cold, so each upstream may be."""

    record_age_s: float
    max_age_s: float


@frozen(eq=False, repr=False)
class ColdUpstreamsKnown:
    """The records are again recent enough to tell who is cold."""

    record_age_s: float
    max_age_s: float


@frozen(eq=False, repr=False)
class UpstreamNoticeIgnored:
    """An upstream sent a header that can't be understood."""

    upstream: str
    reason: str


@frozen(eq=False, repr=False)
class PublicationIgnored:
    """A published value was ignored because it can't be decoded, so nothing it names is used."""

    key: str
    revision: int
    error: str


@frozen(eq=False, repr=False)
class AttemptEnded:
    """An attempt of a request at an upstream has ended, with the state known at that time."""

    request_id: str
    attempt: int
    upstream: str
    end: str
    reason: str
    status: int
    in_flight: int
    version: int
    took_s: float
    # At sending, the time left to start on the version; -1 if unlimited.
    version_left_s: float = -1.0
    # From the start of the attempt to the first event of its answer; -1 if there was none.
    first_event_s: float = -1.0
    # Kind of its route.
    kind: str = ""
    # Seconds of its upstream that its work was predicted to take and was seen to take; -1 if its
    # answer was not whole or work is not predicted.
    predicted_work_s: float = -1.0
    work_s: float = -1.0


@frozen
class ExpiredVersionStarted:
    """The first event of an answer came after requests could no longer start on its version."""

    request_id: str
    upstream: str
    version: int
    late_s: float
    # When the attempt was sent.
    version_left_s: float


@frozen(eq=False, repr=False)
class DirectRequestEnded:
    """A caller's request has ended, with the cached state on which it was decided."""

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
    # Urgency, 0 first, and objective of the request's route.
    priority: int
    objective_s: float


@frozen(eq=False, repr=False)
class WeightsHeld:
    """An entry holds its share of a version's pieces."""

    model: str
    version: int
    pieces: int
    took_s: float


@frozen(eq=False, repr=False)
class WeightsAbandoned:
    """The pulls of a version ended before it was staged, with the pieces pulled until then."""

    model: str
    version: int
    pieces: int
    took_s: float


@frozen(eq=False, repr=False)
class WeightsStaged:
    """Every piece of a version is verified and staged next to the engine."""

    model: str
    version: int
    took_s: float


@frozen(eq=False, repr=False)
class OrderAnswered:
    """An order was sent to the engine, with the engine's answer."""

    model: str
    before: int
    after: int
    answer: str
    took_s: float


@frozen(eq=False, repr=False)
class OrderPostponed:
    """Staged pieces are verified again, as their check had become too old for an order."""

    model: str
    version: int
    check_age_s: float


@frozen(eq=False, repr=False)
class SettingsReloaded:
    """Changed settings are in force."""

    path: str


@frozen(eq=False, repr=False)
class SettingsKept:
    """Changed settings are invalid, so the previous ones stay in force."""

    faults: str


@frozen(eq=False, repr=False)
class TargetTold:
    """A peer reported another target version of a model's weights."""

    model: str
    version: int
    peer: str


@frozen
class CrashCounted:
    """An upstream ended while it answered a request; parts are digests of the prompt's parts.

    is_news is false if another request counted all of them for the same end.
    """

    request_id: str
    upstream: str
    started_ms: int
    parts: str
    is_news: bool


@frozen
class PartHeld:
    """Requests with a part of a prompt are no longer sent; own_crashes were seen by this entry."""

    part: str
    crashes: int
    own_crashes: int


@frozen
class PartReleased:
    """Requests with a part of a prompt are sent again."""

    part: str


@frozen
class RequestHeld:
    """A request was refused for the crashes of its kind, either of a part or of the same request.

    The counts are -1 if they are not known.
    """

    request_id: str
    kind: str
    digest: str
    crashes: int
    own_crashes: int
