"""Parts that the entry and agent daemons share."""

from __future__ import annotations

import json
import logging
import signal
import sys
from collections.abc import Callable

import attrs
import eventlet
from aioprometheus import Gauge, Registry, render
from attrs import define, field

from daisystack.backends import HttpConfigService, HttpEndpoint
from daisystack.core.addresses import parse_address
from daisystack.core.audit import AuditAction, AuditEvent, AuditTrail
from daisystack.core.bootstrap import Bootstrap
from daisystack.core.peers import PeerStatus
from daisystack.core.readers import reader_ranking, should_read
from daisystack.core.register import SiteDocument
from daisystack.core.settings import AgentSettings, EntrySettings
from daisystack.runtime.clock import new_incarnation, now_s, wall_clock_s
from daisystack.runtime.config_task import ConfigTask
from daisystack.runtime.events import DaemonStarted, DaemonStopped, DaemonStopping
from daisystack.runtime.heartbeat_task import HeartbeatTask
from daisystack.runtime.logs import log_event, record_audit
from daisystack.runtime.peer_link import serve_peers
from daisystack.runtime.web import Request, Response, Route, json_response, serve_http
from daisystack.wire.convert import status_from_wire, status_to_wire
from daisystack.wire.gen import ttypes

__all__ = ["Daemon", "PeerHandler"]

STOP_POLL_INTERVAL_S = 0.25

_logger = logging.getLogger("daisystack.daemon")


@define(eq=False)
class Daemon:
    """Own the tasks that entry and agent have in common; each adds its own."""

    role: str
    settings: EntrySettings | AgentSettings
    fill_status: Callable[[PeerStatus, float], PeerStatus]
    choose_neighbors: Callable[[SiteDocument, str], list[str]]
    is_ready: Callable[[], bool]
    extra_status: Callable[[], dict] = dict
    incarnation: str = field(factory=new_incarnation)
    started_s: float = field(factory=now_s)
    leaving: bool = False
    # Whether no list of addresses names this process any more, and new requests are refused.
    is_closed: bool = False
    trail: AuditTrail = field(factory=AuditTrail)
    registry: Registry = field(factory=Registry)
    _gauges: dict[str, Gauge] = field(factory=dict)
    config: ConfigTask = field(init=False)
    heartbeats: HeartbeatTask = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        service = HttpConfigService(HttpEndpoint(settings.config_address))
        seeds = tuple(peer for peer in settings.peers if peer != settings.peer_address)
        self.config = ConfigTask(
            settings.id, service, self.trail, Bootstrap(set(seeds), self.started_s)
        )
        self.config.may_read = self._may_read
        self.heartbeats = HeartbeatTask(
            settings.id, self.config, seeds, self.own_status, self.choose_neighbors
        )

    @property
    def document(self) -> SiteDocument | None:
        """Return the document in force, or None if there is none yet."""
        current = self.config.keeper.current
        return current.document if current else None

    def uptime_s(self, at_s: float) -> float:
        """Return the time since this process started."""
        return at_s - self.started_s

    def own_status(self, at_s: float) -> PeerStatus:
        """Return the status that heartbeats report about this process."""
        status = PeerStatus(
            instance_id=self.settings.id,
            incarnation=self.incarnation,
            uptime_s=self.uptime_s(at_s),
            revision=self.config.keeper.revision,
            leaving=self.leaving,
            service_age_s=self.config.service_age_s(at_s),
        )
        return self.fill_status(status, at_s)

    def audit(self, action: AuditAction, before: str, after: str, outcome: str) -> None:
        """Record a change made by this process in the audit trail and the audit log."""
        revision = self.config.keeper.revision
        who = self.settings.id
        event = AuditEvent(who, action, wall_clock_s(), revision, before, after, outcome)
        record_audit(self.trail, event)

    def start(self, routes: list[Route], handler: PeerHandler) -> None:
        """Start the servers and the tasks; raise OSError if an address can't be bound."""
        settings = self.settings
        serve_peers(parse_address(settings.peer_address), handler)
        serve_http(
            parse_address(settings.http_address),
            [*routes, *self._common_routes()],
            lambda: self.leaving,
        )
        self.config.start()
        self.heartbeats.start()
        started = DaemonStarted(
            self.role,
            settings.zone,
            settings.http_address,
            settings.peer_address,
            self.incarnation,
        )
        log_event(_logger, started)

    def run_until_stopped(self, in_flight: Callable[[], int], linger_s: float) -> None:
        """Wait for a stop signal, then drain.

        Requests that still arrive within linger_s are handled, later ones refused, and none in
        flight is cut off.
        """
        stop = eventlet.event.Event()
        for signum in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signum, lambda *_: stop.ready() or stop.send())
        while not stop.ready():
            eventlet.sleep(STOP_POLL_INTERVAL_S)
        self.leaving = True
        self.audit(AuditAction.LEAVING, "serving", "leaving", "asked to stop")
        self.heartbeats.broadcast_status()
        log_event(_logger, DaemonStopping(in_flight(), linger_s))
        stop_requested_s = now_s()
        while in_flight() or not self.is_closed:
            eventlet.sleep(STOP_POLL_INTERVAL_S)
            # Callers that go on with open connections must not keep the process alive.
            self.is_closed = now_s() - stop_requested_s >= linger_s
        log_event(_logger, DaemonStopped(in_flight()))
        sys.stderr.flush()

    def set_gauge(
        self, name: str, doc: str, value: float, labels: dict[str, str] | None = None
    ) -> None:
        """Set a gauge in this daemon's registry, creating it at first use."""
        if name not in self._gauges:
            self._gauges[name] = Gauge(f"daisystack_{name}", doc, registry=self.registry)
        self._gauges[name].set(labels or {}, value)

    def _may_read(self) -> bool:
        document = self.document
        if document is None:
            return True
        ranking = reader_ranking(document, self.settings.zone)
        age_s = self.config.service_age_s(now_s())
        return should_read(self.settings.id, ranking, self.heartbeats.state, age_s)

    def _common_routes(self) -> list[Route]:
        return [
            Route("GET", "/metrics", lambda request, subpath: self.render_metrics(request)),
            Route("GET", "/healthz", lambda request, subpath: json_response(200, {"live": True})),
            Route("GET", "/readyz", self._readyz),
            Route("GET", "/v1/audit", self._list_audit_events),
            Route("GET", "/v1/status", self._status),
            Route("GET", "/v1/document", self._document),
        ]

    def render_metrics(self, request: Request) -> Response:
        """Update the metrics that both daemons have and return all metrics."""
        at_s = now_s()
        self.set_gauge("revision", "Revision in force", self.config.keeper.revision)
        self.set_gauge("uptime_s", "Seconds since the start", self.uptime_s(at_s))
        self.set_gauge("config_refused", "Documents refused", self.config.refused_count)
        self.set_gauge("service_calls", "Calls to the config service", self.config.service_calls)
        self.set_gauge("service_age_s", "Age of contact", self.config.service_age_s(at_s))
        self.set_gauge("heartbeats_sent", "Heartbeats sent", self.heartbeats.sent_count)
        accept = request.header("Accept") or "text/plain"
        body, headers = render(self.registry, [accept])
        return Response(200, body, headers.get("Content-Type", "text/plain"))

    def _readyz(self, request: Request, subpath: str) -> Response:
        ready = self.is_ready() and not self.leaving
        return json_response(200 if ready else 503, {"ready": ready})

    def _list_audit_events(self, request: Request, subpath: str) -> Response:
        events = [attrs.asdict(event) | {"what": event.what.value} for event in self.trail.events()]
        return json_response(200, {"events": events})

    def _document(self, request: Request, subpath: str) -> Response:
        current = self.config.keeper.current
        if current is None:
            return json_response(503, {"error": "no configuration is in force yet"})
        return Response(200, current.body, headers=(("Revision", str(current.revision)),))

    def _status(self, request: Request, subpath: str) -> Response:
        own = self.own_status(now_s())
        status = attrs.asdict(own, recurse=False)
        status["serving"] = [attrs.asdict(ref) for ref in sorted(own.serving)]
        status["zone"] = self.settings.zone
        status["service_calls"] = self.config.service_calls
        status["heartbeats_sent"] = self.heartbeats.sent_count
        status |= self.extra_status()
        return Response(200, json.dumps(status).encode() + b"\n")


@define(eq=False)
class PeerHandler:
    """Peer interface of an entry, which holds no weights and owns no tickets."""

    daemon: Daemon

    def exchange(self, mine: ttypes.Status) -> ttypes.Status:
        """Apply a peer's status and return this process's status."""
        self.daemon.heartbeats.receive_exchange(status_from_wire(mine))
        return status_to_wire(self.daemon.own_status(now_s()))

    def document(self, after_revision: int) -> ttypes.Document:
        """Return the document in force if it is newer than a revision, otherwise revision 0."""
        current = self.daemon.config.keeper.current
        if current is None or current.revision <= after_revision:
            return ttypes.Document(0, b"")
        return ttypes.Document(current.revision, current.body)

    def manifest(self, manifest_digest: str) -> bytes:
        """Return empty bytes, because no manifest is held."""
        return b""

    def chunk(self, ask: ttypes.ChunkAsk) -> ttypes.Chunk:
        """Return index -1, because no chunk is held."""
        return ttypes.Chunk(-1, b"")

    def seal(self, ask: ttypes.SealAsk) -> ttypes.SealAnswer:
        """Return the state unknown, because no ticket is owned."""
        return ttypes.SealAnswer("unknown", False)
