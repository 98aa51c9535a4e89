"""Run the daemon of an entry that sends requests directly to upstreams."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.backends import PublicationReader, PublishedStore, RequestDialect, WeightOrigin
from daisystack.core.addresses import parse_address
from daisystack.core.cold_upstreams import ColdBound, ColdUpstreams
from daisystack.core.crash_hold import CrashHold
from daisystack.core.direct_settings import DirectEntrySettings, ProcessIdentity
from daisystack.core.engine_status import EngineStatusTable
from daisystack.core.held_bytes import HeldBytes
from daisystack.core.membership import Member, MemberRole
from daisystack.core.mirror import Change, Mirror
from daisystack.core.placement import Placement
from daisystack.core.placement.places import Places
from daisystack.core.readers import mirror_bound_s
from daisystack.core.stopping import StopTimes
from daisystack.core.targets import Targets
from daisystack.core.traffic import CallerLimits
from daisystack.core.upstream_pauses import UpstreamPauses
from daisystack.runtime.belief_gate import BeliefGate
from daisystack.runtime.caller_http import CallerServer
from daisystack.runtime.clock import new_incarnation, now_s
from daisystack.runtime.cold_watch import ColdWatch
from daisystack.runtime.crash_watch import CrashWatch
from daisystack.runtime.direct_metrics import EntryMetrics
from daisystack.runtime.direct_requests import DirectRequests, DirectRequestSettings
from daisystack.runtime.directory import Directory
from daisystack.runtime.engine_datagrams import EngineRelay
from daisystack.runtime.entry_gauges import read_gauges
from daisystack.runtime.events import DaemonStarted, DaemonStopped, DaemonStopping
from daisystack.runtime.logs import log_event
from daisystack.runtime.mesh_handler import MeshHandler
from daisystack.runtime.mesh_task import MeshTask
from daisystack.runtime.metrics_server import MetricsServer
from daisystack.runtime.mirror_task import MirrorTask
from daisystack.runtime.peer_link import serve_peers
from daisystack.runtime.piece_task import PieceTask
from daisystack.runtime.published import PublishedState
from daisystack.runtime.rate_limit_watch import RateLimitWatch
from daisystack.runtime.stopping import wait_for_stop

__all__ = ["DirectEntry"]

_logger = logging.getLogger("daisystack.entry")

READER_DUTY = "reader"
# Keys must be confirmed this much earlier than the revocation bound, to allow for the time
# that a request is in flight.
KEY_AGE_MARGIN_S = 0.6
STOP_POLL_INTERVAL_S = 0.02
# Callers cache the addresses that they looked up for up to this many lifetimes.
ADDRESS_CACHE_LIFETIMES = 3
# Share of the stop grace period within which all requests in progress must have ended.
STOP_GRACE_SHARE = 0.95


@define(eq=False)
class DirectEntry:
    """Run the caller server, the mirrors of the published configuration, and the mesh."""

    settings: DirectEntrySettings
    operator_prefix: str
    upstream_prefix: str
    store: PublishedStore
    reader: PublicationReader
    dialect: RequestDialect
    create_origin: Callable[[str], WeightOrigin]
    # Bytes of responses to this entry's own calls.
    calls_held: HeldBytes = field(factory=HeldBytes)
    is_leaving: bool = False
    stop_requested_s: float | None = None
    mirrors: dict[str, Mirror] = field(init=False)
    placement: Placement = field(init=False)
    cold_watch: ColdWatch = field(init=False)
    published: PublishedState = field(init=False)
    mesh: MeshTask = field(init=False)
    requests: DirectRequests = field(init=False)
    directory: Directory = field(init=False)
    server: CallerServer = field(init=False)
    mirror_tasks: list[MirrorTask] = field(init=False)
    gate: BeliefGate = field(init=False)
    pieces: PieceTask = field(init=False)
    metrics: MetricsServer = field(init=False)
    _origins: dict[str, WeightOrigin] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        prefixes = (self.operator_prefix, self.upstream_prefix)
        self.mirrors = {prefix: Mirror(prefix, self.reader.document_version) for prefix in prefixes}
        self.placement = self._build_placement()
        self.cold_watch = ColdWatch(self.placement)
        targets = Targets(self.settings.publication_bound_s)
        self.published = PublishedState(self.reader, self.placement, targets)
        own = self._build_own_member()
        hold = CrashHold(f"{own.id}/{own.incarnation}")
        crashes = CrashWatch(hold, on_news=lambda: self.mesh.exchange_news())
        self.mesh = self._build_mesh(own, crashes)
        self.pieces = self._build_pieces()
        # Pieces are pulled as soon as the store or a peer reports a new version.
        self.published.on_target.append(self.pieces.start_share_pull)
        self.mesh.on_target.append(self.pieces.start_share_pull)
        self.requests = self._build_requests(crashes)
        self.directory = Directory(
            lambda: self.mesh.own,
            self.mesh.live_entries,
            lambda: self.published.policy,
            self.placement.places,
        )
        self._connect_rate_limits(self.requests.rate_limits)
        self.server = self._build_server()
        self.metrics = MetricsServer(
            self.settings.metrics_address, lambda: read_gauges(self, now_s())
        )
        self._record_metrics(EntryMetrics(self.metrics.registry))
        self.mirror_tasks = self._build_mirror_tasks()
        self.gate = BeliefGate(
            self.mirror_tasks,
            self.settings.publication_bound_s,
            self.mesh.heard_age_s,
            self.mesh.exchange_news,
        )
        self.requests.wait_until_current = self._wait_until_current

    def _build_server(self) -> CallerServer:
        self.requests.held = HeldBytes.within_memory(self.settings.memory_bytes)
        return CallerServer(
            parse_address(self.settings.caller_address),
            self.requests.handle,
            self._limits,
            lambda: self.is_leaving,
            self.requests.held,
        )

    def _build_placement(self) -> Placement:
        settings = self.settings
        return Placement(
            random.SystemRandom(),
            EngineStatusTable(),
            pauses=UpstreamPauses(settings.publication_bound_s),
            zone=settings.identity.zone,
            places=Places(settings.region_by_zone),
            cold=self._build_cold(),
            predicts_work=settings.predicts_work,
        )

    def _build_cold(self) -> ColdUpstreams:
        settings = self.settings
        is_bound = settings.cold_overrun is not None
        return ColdUpstreams(
            ColdBound(settings.cold_overrun, settings.cold_slack) if is_bound else None,
            settings.publication_bound_s,
            self.mirrors[self.upstream_prefix].age_s,
        )

    def _build_mesh(self, own: Member, crashes: CrashWatch) -> MeshTask:
        return MeshTask(
            own,
            self.settings.identity.seeds,
            tuple(self.mirrors.values()),
            self.apply_changes,
            own_in_flight=self.placement.own_counts,
            known_crash_counts=crashes.hold.known_counts,
            on_in_flight=self.placement.update_entry_counts,
            on_crash_counts=crashes.apply_reported_counts,
            known_parts=crashes.suspects.report,
            on_parts=crashes.apply_reported,
            engines=self.placement.engines,
            targets=self.published.targets,
        )

    def _connect_rate_limits(self, watch: RateLimitWatch) -> None:
        watch.on_news = self._spread_limits
        self.mesh.known_limits = watch.limits.report
        self.mesh.on_limits = watch.apply_reported
        self.mesh.on_round = self._refresh_shares

    def _spread_limits(self) -> None:
        self._refresh_shares(now_s())
        self.mesh.exchange_news()

    def _refresh_shares(self, at_s: float) -> None:
        own, membership = self.mesh.own, self.mesh.membership
        self.requests.rate_limits.refresh(own, membership, at_s)
        expects_peers = any(seed != own.peer_address for seed in self.mesh.seeds)
        self.cold_watch.refresh(own, membership, expects_peers, at_s)

    def _build_pieces(self) -> PieceTask:
        return PieceTask(
            lambda: self.mesh.own,
            lambda: self.mesh.live_entries(now_s()),
            self.find_origin,
            self.published.targets,
            lambda member_id: self.mesh.membership.mark_unreachable(member_id, now_s()),
            self._serving_agents,
            self._origin_connections,
        )

    def _record_metrics(self, metrics: EntryMetrics) -> None:
        self.requests.on_request_ended = metrics.record_request
        self.requests.on_attempt_ended = metrics.record_attempt
        self.requests.on_expired_start = metrics.record_expired_start
        self.requests.on_refused = metrics.record_refusal

    def _build_mirror_tasks(self) -> list[MirrorTask]:
        max_key_age_s = self.settings.revoke_bound_s - KEY_AGE_MARGIN_S
        bound_s = mirror_bound_s(self.settings.publication_bound_s, max_key_age_s)
        operator_task, upstream_task = (
            MirrorTask(mirror, self.store, self._reader_rank, self.apply_changes, bound_s)
            for mirror in self.mirrors.values()
        )
        for task in (operator_task, upstream_task):
            task.ask_peers = self._ask_for_confirmation
        # The configuration may be long, the list of upstreams is short.
        operator_task.confirmer = upstream_task
        upstream_task.on_snapshot = self.mirrors[self.operator_prefix].apply_other_prefix
        return [operator_task, upstream_task]

    @property
    def is_ready(self) -> bool:
        """Return whether callers may be directed to this entry."""
        return not self.is_leaving and self.has_required_state

    @property
    def has_required_state(self) -> bool:
        """Return whether all mirrors have a snapshot and a policy is known."""
        return (
            all(m.has_snapshot for m in self.mirrors.values()) and self.published.policy is not None
        )

    def start(self) -> None:
        """Start listening and the tasks; raise OSError if an address can't be bound."""
        serve_peers(parse_address(self.settings.peer_address), MeshHandler(self.mesh, self.pieces))
        relay = EngineRelay(self.placement.engines, self.mesh)
        relay.start(parse_address(self.settings.news_address))
        self.start_reading()
        self.metrics.start()
        identity = self.settings.identity
        incarnation = self.mesh.own.incarnation
        started = DaemonStarted(
            "entry",
            identity.zone,
            self.settings.caller_address,
            self.mesh.own.peer_address,
            incarnation,
        )
        log_event(_logger, started)
        self.mesh.start()
        self.server.start()

    def start_reading(self) -> None:
        """Start to keep the mirrors up to date."""
        for task in self.mirror_tasks:
            task.start()
        self.mirror_tasks[0].start_watch()

    def apply_changes(self, mirror: Mirror, changes: list[Change]) -> None:
        """Apply changes of a mirror and spread them over the mesh."""
        self.published.apply_changes(mirror, changes)
        self.mesh.set_own_state(self.is_ready, self.is_leaving)
        self.mesh.exchange_news()

    def _wait_until_current(self, arrived_s: float) -> bool:
        # Without any state a request is refused for that reason.
        return not self.has_required_state or self.gate.wait_until_current(arrived_s)

    def find_origin(self) -> tuple[WeightOrigin, str] | None:
        """Return the origin of weights and its zone, or None if none is published."""
        policy = self.published.policy
        origins = policy.origins() if policy else []
        if not origins:
            return None
        address = origins[0].origin_address
        if address not in self._origins:
            self._origins[address] = self.create_origin(address)
        return self._origins[address], origins[0].zone

    def _origin_connections(self) -> int:
        policy = self.published.policy
        origins = policy.origins() if policy else []
        return origins[0].max_connections if origins else 0

    def addresses_for(self, zone: str, host: str = "", region: str = "") -> list[str]:
        """Return the addresses that callers of a host in a zone and region should use."""
        return self.directory.addresses_for(zone, host, region)

    def apply_identity(self, identity: ProcessIdentity) -> None:
        """Apply reloaded settings; only the seeds can change while a process runs."""
        self.mesh.seeds = identity.seeds

    def run_until_stopped(self, on_hangup: Callable[[], None]) -> None:
        """Serve until a stop signal, then drain.

        Requests are served until cached addresses of this entry have expired; then idle connections
        are closed and requests in progress get the rest of the grace period.
        """
        wait_for_stop(on_hangup)
        self.leave()
        log_event(_logger, DaemonStopping(self.server.in_progress, self.settings.stop_grace_s))
        stop_requested_s = now_s()
        max_wait_s = self.settings.stop_grace_s * STOP_GRACE_SHARE
        linger_s = min(max_wait_s, ADDRESS_CACHE_LIFETIMES * self.settings.address_lifetime_s)
        while now_s() - stop_requested_s < linger_s:
            eventlet.sleep(STOP_POLL_INTERVAL_S)
        self.server.close_idle()
        while self.server.in_progress and now_s() - stop_requested_s < max_wait_s:
            eventlet.sleep(STOP_POLL_INTERVAL_S)
        log_event(_logger, DaemonStopped(self.server.in_progress))

    def stop_times(self) -> StopTimes | None:
        """Return when the stop was requested and when this entry ends; None if not stopping."""
        if self.stop_requested_s is None:
            return None
        return StopTimes(
            self.stop_requested_s,
            self.stop_requested_s + self.settings.stop_grace_s * STOP_GRACE_SHARE,
        )

    def leave(self) -> None:
        """Announce over the mesh that this entry is leaving."""
        self.is_leaving = True
        self.stop_requested_s = now_s()
        self.mesh.set_own_state(False, True)

    def _build_own_member(self) -> Member:
        settings = self.settings
        return Member(
            id=settings.identity.id,
            incarnation=new_incarnation(),
            role=MemberRole.ENTRY,
            peer_address=settings.peer_address,
            caller_address=settings.caller_address,
            news_address=settings.news_address,
            zone=settings.identity.zone,
            region=settings.identity.region,
        )

    def _build_requests(self, crashes: CrashWatch) -> DirectRequests:
        settings = self.settings
        request_settings = DirectRequestSettings(
            zone=settings.identity.zone,
            max_key_age_s=settings.revoke_bound_s - KEY_AGE_MARGIN_S,
            version_bound_s=settings.version_bound_s,
            retry_ratio=settings.retry_ratio,
            retry_slack=settings.retry_slack,
            retry_window_s=settings.retry_window_s,
        )
        return DirectRequests(
            request_settings,
            self.dialect,
            self.published,
            self.placement,
            self.mirrors[self.operator_prefix],
            self._count_entries,
            crashes,
            stop_times=self.stop_times,
            started_s=now_s(),
        )

    def _count_entries(self) -> int:
        return self.mesh.membership.entry_count(now_s())

    def _reader_rank(self) -> int:
        """Return this entry's rank as a reader among the zone's live entries."""
        return self.mesh.rank_in_zone(READER_DUTY, now_s())

    def _ask_for_confirmation(self) -> None:
        self.mesh.ask_ranked_before(READER_DUTY)

    def _serving_agents(self, version: int) -> list[Member]:
        agents = self.mesh.membership.members(MemberRole.AGENT)
        in_zone = [agent for agent in agents if agent.zone == self.settings.identity.zone]
        serving = [agent for agent in in_zone if self._serves_version(agent, version)]
        return sorted(serving, key=lambda agent: agent.id)

    def _serves_version(self, agent: Member, version: int) -> bool:
        status = self.placement.engines.get(agent.caller_address, now_s())
        if status is None or status.is_loading:
            return False
        return status.is_complete and status.version == version

    def _limits(self) -> CallerLimits:
        policy = self.published.policy
        return policy.limits if policy else CallerLimits()
