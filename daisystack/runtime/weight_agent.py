"""Run the daemon beside an engine: load the wanted weights and report the engine's status."""

from __future__ import annotations

import logging
from collections.abc import Callable
from contextlib import closing

import eventlet
from attrs import define, field
from eventlet.event import Event
from eventlet.queue import Empty, Queue
from eventlet.semaphore import Semaphore

from daisystack.backends import BackendError, LocalEngine
from daisystack.core.addresses import parse_address
from daisystack.core.crash_memory import CrashMemory
from daisystack.core.direct_settings import ProcessIdentity, WeightAgentSettings
from daisystack.core.engine_status import EngineStatus, ReportPacer
from daisystack.core.held_bytes import HeldBytes
from daisystack.core.membership import Member, MemberRole
from daisystack.core.rollout_schedule import OrderedLoad, RolloutSchedule, order_time_s
from daisystack.core.targets import Targets, WeightTarget
from daisystack.core.version_choice import VersionChoice
from daisystack.core.weight_pieces import EngineState, PieceList, piece_matches
from daisystack.runtime.clock import new_incarnation, now_s
from daisystack.runtime.engine_datagrams import EngineStatusSender
from daisystack.runtime.events import (
    ChunkRejected,
    DaemonStarted,
    DaemonStopping,
    DependencyLost,
    DependencyRegained,
    OrderAnswered,
    OrderPostponed,
    WeightsAbandoned,
    WeightSourceFailed,
    WeightsStaged,
)
from daisystack.runtime.logs import log_event
from daisystack.runtime.mesh_handler import MeshHandler
from daisystack.runtime.mesh_task import MeshTask
from daisystack.runtime.metrics_server import MetricsServer, Sample
from daisystack.runtime.peer_link import LinkPool, PeerError, PeerLink, serve_peers
from daisystack.runtime.piece_source import PieceSource
from daisystack.runtime.piece_task import has_piece, pull_piece, pull_piece_in_slices
from daisystack.runtime.stopping import wait_for_stop
from daisystack.runtime.tasks import run_steps

__all__ = ["StagedPieces", "WeightAgent"]

# On its own machine the engine's state is up to date and costs nothing to read.
STATE_POLL_INTERVAL_S = 0.1
# Without requests, the state changes only when the first one arrives.
IDLE_POLL_INTERVAL_S = 0.2
# A zone without live entries still has its engines used from other zones.
REMOTE_RECEIVERS = 2
STAGE_INTERVAL_S = 0.1
# One piece is staged while another is transferred; requests wait behind two slices at most.
CONCURRENT_PULLS = 2
# Pieces waited for at the same time, so that one that no entry holds delays no other.
CONCURRENT_WAITS = 8
# While no piece arrives, the list is compared with that of the entries this often.
LIST_CHECK_INTERVAL_S = 1.0
# An estimate from fewer pieces is too inaccurate.
MIN_PIECES_TO_ESTIMATE = 8
# Longest wait for a piece; another version may become wanted meanwhile. A piece takes about
# 30 ms on the origin's link, so a few requests without success cost little.
PULL_WAIT_S = 0.3
PULL_TIMEOUT_S = 4.0
# Pause before a piece that was not available is requested again, possibly elsewhere.
RETRY_S = 0.1
# An engine that accepted an order reports it within this time.
ORDER_REPORT_DELAY_S = 0.3
# Longest time from the first read of the last check to the order. An engine may load a piece that
# became corrupt up to 3 s before, and the order must still reach it.
MAX_CHECK_AGE_S = 2.0

_logger = logging.getLogger("daisystack.agent")


@define
class _PullProgress:
    """Progress of the pulls of one version."""

    started_s: float
    total: int
    last_piece_s: float
    done: int = 0
    # When the list was last compared with that of the entries.
    list_checked_s: float = float("-inf")
    # A piece that an entry had verified did not match the list.
    has_mismatch: bool = False
    # Another version became wanted; pulls that wait for their turn end without a piece.
    is_abandoned: bool = False

    def expected_end_s(self, at_s: float) -> float | None:
        """Return when the last piece is expected, None while too few have arrived."""
        if self.done < min(MIN_PIECES_TO_ESTIMATE, self.total):
            return None
        return self.started_s + (at_s - self.started_s) * self.total / max(1, self.done)


@define(eq=False)
class WeightAgent:
    """Manage the engine on this machine: its pieces, its orders and its reports."""

    settings: WeightAgentSettings
    engine: LocalEngine
    # Bytes of responses to this agent's calls.
    calls_held: HeldBytes = field(factory=HeldBytes)
    mesh: MeshTask = field(init=False)
    piece_source: PieceSource = field(init=False)
    version_choice: VersionChoice = field(factory=VersionChoice)
    metrics: MetricsServer = field(init=False)
    status_sender: EngineStatusSender = field(factory=EngineStatusSender)
    crashes: CrashMemory = field(factory=CrashMemory)
    engine_state: EngineState | None = None
    pulled_bytes: int = 0
    orders: int = 0
    _verified: dict[int, str] = field(factory=dict)
    _ready_s: float | None = None
    _staged_key: tuple[str, int, int] | None = None
    _is_engine_lost: bool = False
    _progress: _PullProgress | None = None
    _ordered: OrderedLoad | None = None
    _pacer: ReportPacer = field(factory=ReportPacer)
    _fill_due: Event = field(factory=Event)
    _pull_slots: Semaphore = field(factory=lambda: Semaphore(CONCURRENT_PULLS))

    def __attrs_post_init__(self) -> None:
        identity = self.settings.identity
        own = Member(
            id=identity.id,
            incarnation=new_incarnation(),
            role=MemberRole.AGENT,
            peer_address=self.settings.peer_address,
            # Identifies the engine on this machine.
            caller_address=self.settings.engine_address,
            news_address="",
            zone=identity.zone,
            region=identity.region,
        )
        targets = Targets(self.settings.publication_bound_s)
        self.mesh = MeshTask(
            own,
            identity.seeds,
            (),
            lambda mirror, changes: None,
            known_crash_counts=self.crashes.hold.known_counts,
            on_crash_counts=self.crashes.apply_counts,
            known_parts=self.crashes.suspects.report,
            on_parts=self.crashes.apply_parts,
            targets=targets,
        )
        self.mesh.on_target.append(lambda target: self._check_fill_due())
        self.piece_source = PieceSource(identity.zone, self._entries, self._open_link)
        self.metrics = MetricsServer(self.settings.metrics_address, self._samples)

    def start(self) -> None:
        """Start the tasks."""
        handler = MeshHandler(self.mesh, StagedPieces(self))
        serve_peers(parse_address(self.settings.peer_address), handler)
        self.mesh.start()
        eventlet.spawn(run_steps, "engine watch", self._poll_engine)
        eventlet.spawn(run_steps, "engine fill", self._fill)
        self.metrics.start()
        identity = self.settings.identity
        incarnation = self.mesh.own.incarnation
        started = DaemonStarted(
            "agent", identity.zone, self.settings.engine_address, "", incarnation
        )
        log_event(_logger, started)

    def apply_identity(self, identity: ProcessIdentity) -> None:
        """Apply reloaded settings; only the seeds can change while a process runs."""
        self.mesh.seeds = identity.seeds

    def run_until_stopped(self, on_hangup: Callable[[], None]) -> None:
        """Run until a stop signal; the next incarnation can repeat all work in progress."""
        wait_for_stop(on_hangup)
        log_event(_logger, DaemonStopping(0, 0.0))

    def _samples(self) -> list[Sample]:
        state, target = self.engine_state, self._target()
        return [
            ("daisystack_engine_answers", "Whether the engine answers", float(state is not None)),
            ("daisystack_engine_version", "Version held whole", state.version if state else 0),
            ("daisystack_wanted_version", "Version wanted", target.version if target else 0),
            ("daisystack_orders", "Orders given", self.orders),
            ("daisystack_pulled_bytes", "Bytes of pieces pulled", self.pulled_bytes),
            (
                "daisystack_call_bytes_turned_away",
                "Times that responses to own calls were not held for lack of room",
                self.calls_held.turned_away,
            ),
        ]

    def _poll_engine(self) -> None:
        eventlet.sleep(self._poll_interval_s())
        at_s = now_s()
        try:
            state = self.engine.state()
        except BackendError as error:
            if not self._is_engine_lost:
                log_event(_logger, DependencyLost("engine", str(error), 0.0))
            self._is_engine_lost = True
            self.engine_state = None
            self._check_fill_due()
            return
        if self._is_engine_lost:
            log_event(_logger, DependencyRegained("engine", 0.0))
        self._is_engine_lost = False
        self.engine_state = state
        self._check_fill_due()
        self._report_state(state, at_s)

    def _poll_interval_s(self) -> float:
        state, target = self.engine_state, self._target()
        is_idle = (
            state is not None
            and target is not None
            and state.version == target.version
            and not (state.running or state.queued or state.is_busy)
        )
        return IDLE_POLL_INTERVAL_S if is_idle else STATE_POLL_INTERVAL_S

    def _report_state(self, state: EngineState, read_s: float) -> None:
        """Send the engine's status to the entries of the zone and add it to the next news."""
        status = EngineStatus(
            address=self.settings.engine_address,
            started_ms=state.started_ms,
            version=state.version,
            is_complete=state.version > 0,
            is_loading=state.is_busy,
            running=state.running,
            queued=state.queued,
            read_s=read_s,
            loads_at_s=self._loads_at_s(read_s),
            slowdown=state.slowdown,
        )
        self.mesh.engines.update(status)
        if self._pacer.is_due(status):
            self._pacer.record_sent(status)
            receivers = [member.news_address for member in self._report_receivers()]
            self.status_sender.send([status], receivers, now_s(), is_direct=True)

    def _report_receivers(self) -> list[Member]:
        """Return the entries of the zone, or if there are none, some that relay for it."""
        entries = self._entries()
        in_zone = [m for m in entries if m.zone == self.settings.identity.zone]
        return in_zone or entries[:REMOTE_RECEIVERS]

    def _check_fill_due(self) -> None:
        if self._needs_weights() and not self._fill_due.ready():
            self._fill_due.send()

    def _needs_weights(self) -> bool:
        target, state = self._target(), self.engine_state
        if target is None:
            return False
        if state is None:
            return True
        version = self._held_or_loading_version(state)
        if state.is_busy and version == state.version:
            # What the engine loads is not known.
            return False
        return version != target.version

    def _held_or_loading_version(self, state: EngineState) -> int:
        """Return the version for which the engine needs no staged pieces any more."""
        if self._ordered is not None and self._ordered.is_running(state):
            return self._ordered.version
        return state.version

    def _fill(self) -> None:
        """Wait until the engine may need weights; an idle agent does not wake up to check."""
        if not self._needs_weights():
            self._fill_due.wait()
            self._fill_due = Event()
        self._stage_and_order()

    def _stage_and_order(self) -> None:
        eventlet.sleep(STAGE_INTERVAL_S)
        target = self._target()
        state = self.engine_state
        if target is None or not self._needs_weights():
            return
        pieces = self._choose_pieces(target.model)
        if pieces is None or state is None:
            return
        if not self._stage(pieces, state):
            return
        self._order_when_due(pieces)

    def _target(self) -> WeightTarget | None:
        targets = self.mesh.targets.newest()
        model = self.engine_state.model if self.engine_state else ""
        return next((t for t in targets if t.model == model), targets[0] if targets else None)

    def _choose_pieces(self, model: str) -> PieceList | None:
        """Return the pieces of the newest available version that stays usable for a while."""
        usable = self._usable_versions(model)
        for version in self.version_choice.candidates(usable, now_s()):
            pieces = self.piece_source.find_list(WeightTarget(model, version))
            if pieces is not None and (
                version == usable[-1] or self.piece_source.is_available(pieces)
            ):
                return pieces
        return None

    def _usable_versions(self, model: str) -> list[int]:
        above = self._held_or_loading_version(self.engine_state) if self.engine_state else 0
        bound_s = self.settings.version_bound_s
        return self.mesh.targets.usable_versions(model, above, bound_s, now_s())

    def _open_link(self, address: str, timeout_s: float) -> PeerLink:
        return self.mesh.open_link(address, timeout_s)

    def _entries(self) -> list[Member]:
        """Return the live entries, those of this agent's zone first."""
        entries = self.mesh.live_entries(now_s())
        return sorted(entries, key=lambda m: (m.zone != self.settings.identity.zone, m.id))

    def _stage(self, pieces: PieceList, state: EngineState) -> bool:
        """Pull every piece that is not staged; return whether all are staged afterwards."""
        started_s = now_s()
        key = (pieces.model, pieces.version, state.started_ms)
        missing = self._find_missing(pieces)
        if missing:
            self._ready_s = None
            self._pull_all(pieces, missing)
            missing = self._find_missing(pieces)
        if missing:
            return False
        if self._ready_s is None or self._staged_key != key:
            self._ready_s = now_s()
            self._staged_key = key
            took_s = self._ready_s - started_s
            log_event(_logger, WeightsStaged(pieces.model, pieces.version, took_s))
        return True

    def _find_missing(self, pieces: PieceList) -> list[int]:
        """Read the staged pieces back and return the indexes of missing or corrupt ones."""
        staged = self.engine.staged_indexes(pieces.model)
        missing = []
        for index in range(len(pieces.digests)):
            body = self.engine.read_staged(pieces.model, index) if index in staged else None
            if not piece_matches(pieces, index, body):
                missing.append(index)
        return missing

    def _pull_all(self, pieces: PieceList, missing: list[int]) -> None:
        queue: Queue = Queue()
        for index in missing:
            queue.put(index)
        self._progress = _PullProgress(now_s(), len(missing), now_s())
        with closing(LinkPool(self._open_link, PULL_TIMEOUT_S)) as links:
            workers = [
                eventlet.spawn(self._pull_worker, pieces, queue, links)
                for _ in range(min(CONCURRENT_WAITS, len(missing)))
            ]
            for worker in workers:
                worker.wait()
        progress, self._progress = self._progress, None
        if progress.is_abandoned:
            took_s = now_s() - progress.started_s
            event = WeightsAbandoned(pieces.model, pieces.version, progress.done, took_s)
            log_event(_logger, event)

    def _pull_worker(self, pieces: PieceList, queue: Queue, links: LinkPool) -> None:
        progress = self._progress
        try:
            while not progress.is_abandoned and self._is_wanted(pieces):
                index = queue.get_nowait()
                if not self._pull_piece(pieces, index, links):
                    queue.put(index)
                    eventlet.sleep(RETRY_S)
                    if self._is_list_replaced(pieces):
                        break
            progress.is_abandoned = True
        except Empty:
            return

    def _is_list_replaced(self, pieces: PieceList) -> bool:
        """Return whether the entries have another list, asking them if no piece arrives."""
        progress, at_s = self._progress, now_s()
        checked_s = max(progress.last_piece_s, progress.list_checked_s)
        if at_s - checked_s < LIST_CHECK_INTERVAL_S:
            return False
        progress.list_checked_s = at_s
        rejected = pieces.fingerprint if progress.has_mismatch else ""
        target = WeightTarget(pieces.model, pieces.version)
        current = self.piece_source.find_list(target, rejected)
        return current is not None and current != pieces

    def _is_wanted(self, pieces: PieceList) -> bool:
        """Return whether no newer version is available and this one stays usable for a while."""
        usable = self._usable_versions(pieces.model)
        if pieces.version not in usable:
            return False
        newest, at_s = usable[0], now_s()
        if newest != pieces.version:
            may_poll = self.version_choice.may_poll(newest, self._staged_share(pieces), at_s)
            return (
                not may_poll
                or self.piece_source.poll_list(WeightTarget(pieces.model, newest)) is None
            )
        if len(usable) == 1 or self._progress is None:
            return True
        return not self.version_choice.check_stalled(newest, self._progress.last_piece_s, at_s)

    def _staged_share(self, pieces: PieceList) -> float:
        if self._progress is not None:
            return 1.0 - (self._progress.total - self._progress.done) / len(pieces.digests)
        is_staged = self._staged_key is not None and self._staged_key[1] == pieces.version
        return 1.0 if is_staged else 0.0

    def _pull_piece(self, pieces: PieceList, index: int, links: LinkPool) -> bool:
        progress = self._progress
        member = self.piece_source.holder(index)
        if member is None:
            return False
        try:
            with links.borrow(member.peer_address) as link:
                body = self._request_piece(link, pieces, index)
                model, version = pieces.model, pieces.version
                if body is None and has_piece(link, model, version, index, PULL_WAIT_S):
                    body = self._request_piece(link, pieces, index)
        except PeerError as error:
            log_event(_logger, WeightSourceFailed(member.id, str(error)))
            self.mesh.membership.mark_unreachable(member.id, now_s())
            return False
        self.pulled_bytes += len(body or b"")
        if body is None:
            return False
        if not piece_matches(pieces, index, body):
            log_event(_logger, ChunkRejected(member.id, f"piece {index}: digest does not match"))
            progress.has_mismatch = True
            return False
        try:
            self.engine.stage(pieces.model, index, body)
        except BackendError as error:
            log_event(_logger, WeightSourceFailed("engine", str(error)))
            return False
        progress.done += 1
        progress.last_piece_s = now_s()
        return True

    @property
    def _is_serving(self) -> bool:
        return self.engine_state is not None and self.engine_state.version > 0

    def _request_piece(self, link: PeerLink, pieces: PieceList, index: int) -> bytes | None:
        with self._pull_slots:
            if self._progress is not None and self._progress.is_abandoned:
                return None
            if not self._is_serving:
                return pull_piece(link, pieces.model, pieces.version, index, 0.0)
            rate = self.settings.link_bytes_per_s
            return pull_piece_in_slices(link, pieces.model, pieces.version, index, 0.0, rate)

    def _order_when_due(self, pieces: PieceList) -> None:
        state = self.engine_state
        at_s = now_s()
        if state is None or state.is_busy or state.version == pieces.version:
            return
        if self._must_wait(pieces, state, at_s):
            return
        # Staged pieces may become corrupt, so they are verified again just before they are loaded.
        if self._find_missing(pieces) or not self._is_wanted(pieces):
            return
        # This process may have stood still since, and pieces that it read became corrupt.
        send_by_s = at_s + MAX_CHECK_AGE_S
        if now_s() > send_by_s:
            log_event(_logger, OrderPostponed(pieces.model, pieces.version, now_s() - at_s))
            return
        self.orders += 1
        self._ordered = OrderedLoad(pieces.version, state.started_ms, state.order_count)
        try:
            answer = self.engine.order_load(
                pieces.model, pieces.version, state.order_count, send_by_s
            )
            reason = answer.reason
        except BackendError as error:
            reason = f"no answer: {error}"
        before = state.version
        log_event(
            _logger, OrderAnswered(pieces.model, before, pieces.version, reason, now_s() - at_s)
        )
        eventlet.sleep(ORDER_REPORT_DELAY_S)

    def _must_wait(self, pieces: PieceList, state: EngineState, at_s: float) -> bool:
        # An older version is usable for a short time only, so it is loaded without waiting.
        is_newest = pieces.version == self.mesh.targets.version(pieces.model)
        if state.version == 0 or not is_newest:
            return False
        return at_s < self._order_time_s(pieces.model, self._ready_s, at_s)

    def _loads_at_s(self, at_s: float) -> float | None:
        """Return when the engine is expected to be ordered to load, None while not known."""
        target = self._target()
        if target is None or not self._is_serving or self.engine_state.version == target.version:
            return None
        is_staged = self._staged_key is not None and self._staged_key[1] > self.engine_state.version
        ready_s = self._ready_s if is_staged else None
        if self._progress is not None:
            ready_s = self._progress.expected_end_s(at_s)
        if ready_s is None:
            return None
        return self._order_time_s(target.model, ready_s, at_s)

    def _order_time_s(self, model: str, ready_s: float, at_s: float) -> float:
        engines = [status.address for status in self.mesh.engines.recent(at_s)]
        serving = self.engine_state.version if self.engine_state else 0
        deadline_s = self.mesh.targets.usable_until_s(model, serving, self.settings.version_bound_s)
        schedule = RolloutSchedule(self.settings.engine_address, engines, deadline_s)
        return order_time_s(schedule, ready_s)


@define(eq=False)
class StagedPieces:
    """Serve the pieces staged beside an engine, unverified, while the engine serves them."""

    agent: WeightAgent

    def digests(
        self, model: str, version: int, wait_s: float, rejected: str | None = None
    ) -> list[str]:
        """Return no digests, as entries know them."""
        return []

    def piece(self, model: str, version: int, index: int, wait_s: float) -> bytes | None:
        """Return a piece as it is staged now, None when another version is served."""
        state = self.agent.engine_state
        if state is None or state.version != version:
            return None
        try:
            return self.agent.engine.read_staged(model, index)
        except BackendError as error:
            log_event(_logger, WeightSourceFailed("engine", str(error)))
            return None
