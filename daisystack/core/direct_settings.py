"""Settings of processes in deployments where entries send requests directly to upstreams."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import field, frozen

__all__ = ["DirectEntrySettings", "ProcessIdentity", "WeightAgentSettings"]


@frozen
class ProcessIdentity:
    """Id, zone and region of a process, and the seed addresses of its peers."""

    id: str
    zone: str
    region: str
    seeds: tuple[str, ...]


@frozen
class DirectEntrySettings:
    """Settings of an entry that sends requests to upstreams without an agent in between."""

    identity: ProcessIdentity
    caller_address: str
    peer_address: str
    # Receives datagrams with the state of engines.
    news_address: str
    ready_address: str
    directory_address: str
    metrics_address: str
    # Callers may cache a directory response for three times the lifetime it states.
    address_lifetime_s: float
    # Time between the stop signal and the forced end of the process.
    stop_grace_s: float
    # A configuration or a draining upstream must be in force within this time.
    publication_bound_s: float
    # A revoked API key must be refused within this time.
    revoke_bound_s: float
    # Requests may start on a version for this long after the next version is published.
    version_bound_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    # Region of each availability zone.
    region_by_zone: Mapping[str, str] = field(factory=dict)
    # Requests to an evacuated zone must have ended to be sent within this time; None: not bounded.
    evacuation_bound_s: float | None = None
    # A cold upstream gets at most its limit times this factor, plus the slack, in one second; None
    # if its limit does not bind.
    cold_overrun: float | None = None
    cold_slack: float = 0.0
    # Limits of this process's machine; 0 if not stated.
    memory_bytes: float = 0.0
    link_bytes_per_s: float = 0.0
    cpu_cores: float = 0.0
    # Upstreams are chosen by predicted work instead of the number of requests.
    predicts_work: bool = False


@frozen
class WeightAgentSettings:
    """Settings of an agent that only loads weights into its engine and monitors it."""

    identity: ProcessIdentity
    engine_address: str
    peer_address: str
    service: str
    link_bytes_per_s: float
    metrics_address: str
    # A publication must be in force within this time.
    publication_bound_s: float
    version_bound_s: float
    stop_grace_s: float
    # Limit of this process's machine; 0 if not stated.
    memory_bytes: float = 0.0
