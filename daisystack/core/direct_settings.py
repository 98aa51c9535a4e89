"""Hold the settings of processes that run before upstreams they send to directly."""

from __future__ import annotations

from attrs import frozen

__all__ = ["DirectEntrySettings", "ProcessIdentity", "WeightAgentSettings"]


@frozen
class ProcessIdentity:
    """Say who a process is and where it runs."""

    id: str
    zone: str
    region: str
    seeds: tuple[str, ...]


@frozen
class DirectEntrySettings:
    """Hold the settings of an entry without agents on the request path."""

    identity: ProcessIdentity
    caller_address: str
    peer_address: str
    # Datagrams with the state of engines come here.
    news_address: str
    ready_address: str
    directory_address: str
    metrics_address: str
    # Callers may keep an answer of the directory three times as long as they are told.
    address_lifetime_s: float
    # Time between the request to stop and the end of the process by force.
    stop_grace_s: float
    revoke_bound_s: float
    version_bound_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float


@frozen
class WeightAgentSettings:
    """Hold the settings of an agent that only fills and watches its engine."""

    identity: ProcessIdentity
    engine_address: str
    peer_address: str
    service: str
    link_bytes_per_s: float
    metrics_address: str
    version_bound_s: float
    stop_grace_s: float
