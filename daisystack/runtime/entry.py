"""Entry daemon: serves the callers' HTTP interface and forwards requests to agents."""

from __future__ import annotations

import logging

import attrs
import eventlet
from attrs import define, field

from daisystack.backends import BackendError, HttpEndpoint, HttpLiveList
from daisystack.core.audit import AuditAction
from daisystack.core.config_keeper import AcceptedConfig
from daisystack.core.entry_addresses import list_entry_addresses
from daisystack.core.held_bytes import HeldBytes
from daisystack.core.peers import SUSPECT_AFTER_S, PeerStatus
from daisystack.core.readers import entry_neighbors
from daisystack.core.retries import RetryBudget
from daisystack.core.settings import EntrySettings
from daisystack.core.tickets import MAX_TICKET_LIFETIME_S
from daisystack.runtime.caller_request import MODELS, SERVICES, parse_target
from daisystack.runtime.clock import now_s
from daisystack.runtime.daemon import Daemon, PeerHandler
from daisystack.runtime.entry_requests import EntryRequests
from daisystack.runtime.events import ServiceReadFailed
from daisystack.runtime.logs import log_event
from daisystack.runtime.upstreams import Upstreams
from daisystack.runtime.waiting_queues import WaitingQueues
from daisystack.runtime.web import BadRequest, Request, Response, Route, json_response

__all__ = ["Entry", "run_entry"]

LIVE_LIST_INTERVAL_S = 10.0

_logger = logging.getLogger("daisystack.entry")


@define(eq=False)
class Entry:
    """Serve callers: entry addresses, tickets and requests."""

    settings: EntrySettings
    daemon: Daemon = field(init=False)
    upstreams: Upstreams = field(init=False)
    requests: EntryRequests = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.daemon = Daemon("entry", settings, self._fill_status, entry_neighbors, self._is_ready)
        self.upstreams = Upstreams(
            settings.id,
            settings.zone,
            self.daemon.heartbeats,
            lambda: self.daemon.document,
            settings.progress_timeout_s,
            HeldBytes(settings.max_held_bytes),
        )
        retry_budget = RetryBudget(ratio=settings.retry_ratio)
        waiting_queues = WaitingQueues(settings.max_queue, settings.max_queue_wait_s)
        self.requests = EntryRequests(
            settings,
            self.upstreams,
            retry_budget,
            waiting_queues,
            self._audit_held_request,
            is_closed=lambda: self.daemon.is_closed,
        )
        self.daemon.config.on_accepted.append(self._apply_config)
        self.daemon.heartbeats.on_heartbeat.append(self._apply_heartbeat)

    def start(self) -> None:
        """Start the HTTP server, the peer server and the background tasks."""
        requests = self.requests
        routes = [
            Route("POST", "/v1/models/", lambda r, subpath: requests.handle(r, subpath, MODELS)),
            Route(
                "POST", "/v1/services/", lambda r, subpath: requests.handle(r, subpath, SERVICES)
            ),
            Route("POST", "/v1/tickets/", self._mint_ticket),
            Route("GET", "/v1/addresses", self._list_addresses),
            Route("GET", "/metrics", self._metrics),
        ]
        self.daemon.start(routes, PeerHandler(self.daemon))
        eventlet.spawn(self._poll_live_list)

    def _is_ready(self) -> bool:
        return self.daemon.document is not None

    def _apply_config(self, config: AcceptedConfig) -> None:
        self.upstreams.apply_document(config.document)

    def _apply_heartbeat(self, status: PeerStatus) -> None:
        self.upstreams.apply_heartbeat(status)
        if status.crash_counts:
            self.requests.hold.update_entry_counts(status.instance_id, status.crash_counts, now_s())
        self.requests.waiting_queues.admit_waiting()

    def _audit_held_request(self, description: str) -> None:
        self.daemon.audit(AuditAction.REQUEST_HELD, "served", "held", description)

    def _fill_status(self, status: PeerStatus, at_s: float) -> PeerStatus:
        return attrs.evolve(
            status,
            in_flight=self.requests.in_flight,
            crash_counts=self.requests.hold.own_counts(at_s),
        )

    def _poll_live_list(self) -> None:
        live_list = HttpLiveList(HttpEndpoint(self.settings.live_list_address))
        while True:
            try:
                lines = live_list.read()
                self.upstreams.leaving_ids = frozenset(line.id for line in lines if line.leaving)
            except BackendError as error:
                log_event(_logger, ServiceReadFailed(str(error)))
            eventlet.sleep(LIVE_LIST_INTERVAL_S)

    def _list_addresses(self, request: Request, subpath: str) -> Response:
        document = self.daemon.document
        if document is None:
            return json_response(503, {"verdict": "not_run", "error": "no configuration yet"})
        zone = request.query("zone", self.settings.zone)
        peers = self.daemon.heartbeats.peers
        entry_addresses = list_entry_addresses(
            document, self.settings.id, self.daemon.leaving, zone, peers, now_s()
        )
        body = {
            "addresses": [attrs.asdict(entry) for entry in entry_addresses],
            "lifetime_s": self.settings.address_lifetime_s,
        }
        return json_response(200, body)

    def _mint_ticket(self, request: Request, subpath: str) -> Response:
        document = self.daemon.document
        if document is None or self.daemon.is_closed:
            reason = "this entry has left" if document else "no configuration yet"
            return json_response(503, {"verdict": "not_run", "error": reason})
        kind, _, name = subpath.partition("/")
        if kind not in (MODELS, SERVICES):
            raise BadRequest(f"got {kind[:64]!r}, allowed are {MODELS} and {SERVICES}")
        target = parse_target(kind, name, document)
        lifetime_s = MAX_TICKET_LIFETIME_S / 2
        ticket = self.upstreams.mint(document, target, lifetime_s)
        if ticket is None:
            body = {"verdict": "not_run", "error": "no upstream takes tickets now"}
            return json_response(503, body, (("Retry-After", "1"),))
        return json_response(201, {"ticket": str(ticket), "lifetime_s": lifetime_s})

    def _metrics(self, request: Request, subpath: str) -> Response:
        set_gauge = self.daemon.set_gauge
        set_gauge("in_flight", "Requests in progress", self.requests.in_flight)
        set_gauge(
            "waiting", "Requests that wait for an upstream", len(self.requests.waiting_queues)
        )
        set_gauge("shed", "Requests shed", self.requests.waiting_queues.shed_count)
        set_gauge("retries", "Retries sent", self.requests.retries)
        for (verdict, end), count in self.requests.ended_counts.items():
            labels = {"verdict": verdict, "end": end}
            set_gauge("requests_ended", "Requests by verdict and end", count, labels)
        return self.daemon.render_metrics(request)


def run_entry(settings: EntrySettings) -> None:
    """Run an entry until it is stopped and all address lists that name it have expired."""
    entry = Entry(settings)
    entry.start()
    # Another entry may list this one until it has detected that this one is leaving.
    linger_s = settings.address_lifetime_s + SUSPECT_AFTER_S
    entry.daemon.run_until_stopped(lambda: entry.requests.in_flight, linger_s)
