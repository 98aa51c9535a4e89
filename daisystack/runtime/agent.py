"""Run the agent, the daemon that manages one upstream instance."""

from __future__ import annotations

import attrs
from attrs import define, field

from daisystack.backends import (
    HttpEndpoint,
    HttpModelEngine,
    HttpPlainService,
    HttpWeightSource,
)
from daisystack.core.chunk_store import ChunkStore
from daisystack.core.config_keeper import AcceptedConfig
from daisystack.core.held_bytes import HeldBytes
from daisystack.core.idempotency import IdempotencyTable, RecordState
from daisystack.core.peers import PeerStatus
from daisystack.core.readers import agent_neighbors
from daisystack.core.settings import AgentSettings
from daisystack.runtime.chunk_server import ChunkServer
from daisystack.runtime.clock import now_s
from daisystack.runtime.daemon import Daemon, PeerHandler
from daisystack.runtime.engine_task import EngineTask
from daisystack.runtime.forwarder import Forwarder
from daisystack.runtime.heartbeat_task import HEARTBEAT_INTERVAL_S
from daisystack.runtime.transfer_task import TransferTask
from daisystack.runtime.upstream_http import UpstreamClient
from daisystack.runtime.web import Request, Response, Route
from daisystack.wire.gen import ttypes

__all__ = ["Agent", "run_agent"]

# Entries learn from a heartbeat that this agent leaves. What they sent before is refused, not lost.
STOP_LINGER_S = 2 * HEARTBEAT_INTERVAL_S


@define(eq=False)
class Agent:
    """Manage one upstream: weight transfers, load orders, gate and tickets."""

    settings: AgentSettings
    daemon: Daemon = field(init=False)
    chunk_server: ChunkServer = field(init=False)
    transfer_task: TransferTask = field(init=False)
    engine_task: EngineTask = field(init=False)
    forwarder: Forwarder = field(init=False)

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.daemon = Daemon(
            "agent",
            settings,
            self._fill_status,
            agent_neighbors,
            lambda: self.engine_task.gate.is_open,
        )
        self.daemon.extra_status = self._extra_status
        store = ChunkStore(settings.max_chunk_bytes_held)
        self.chunk_server = ChunkServer(settings.id, store, lambda: self.daemon.document)
        sources = tuple(
            HttpWeightSource(HttpEndpoint(address))
            for address in (settings.store_address, settings.origin_address)
        )
        self.transfer_task = TransferTask(settings.id, store, self.chunk_server, sources)
        self.engine_task = EngineTask(
            self.daemon,
            HttpModelEngine(HttpEndpoint(settings.upstream_address), now_s),
            self.transfer_task,
            lambda: self.forwarder.in_flight,
            settings.drain_s,
        )
        self.forwarder = self._build_forwarder()
        self.daemon.config.on_accepted.append(self._apply_config)

    def start(self) -> None:
        """Start the HTTP server, the peer server and the background tasks."""
        routes = [
            Route("POST", "/v1/forward/", self.forwarder.handle),
            Route("GET", "/v1/staged/", self._serve_staged),
            Route("GET", "/metrics", self._metrics),
        ]
        self.daemon.start(routes, AgentPeerHandler(self.daemon, self))
        self.engine_task.start()

    def _build_forwarder(self) -> Forwarder:
        settings = self.settings
        return Forwarder(
            self.daemon,
            self.engine_task,
            UpstreamClient(
                settings.upstream_address,
                settings.progress_timeout_s,
                False,
                HeldBytes(settings.max_held_bytes),
            ),
            IdempotencyTable(
                settings.id, self.daemon.incarnation, max_records=settings.max_tickets
            ),
            settings,
        )

    def _apply_config(self, config: AcceptedConfig) -> None:
        document = config.document
        instance = document.instances.get(self.settings.id)
        if instance is None:
            return
        pool = document.pools[instance.pool]
        if pool.kind.value == "service":
            endpoint = HttpEndpoint(self.settings.upstream_address)
            self.engine_task.engine = HttpPlainService(endpoint, now_s)
        self.transfer_task.apply_document(document)

    def _fill_status(self, status: PeerStatus, at_s: float) -> PeerStatus:
        transfers = self.transfer_task.transfers.values()
        report = self.engine_task.report
        return attrs.evolve(
            status,
            gate_open=self.engine_task.gate.is_open,
            serving=report.serving if report else frozenset(),
            in_flight=self.forwarder.in_flight,
            capacity=self.settings.capacity,
            chunks_held=sum(t.chunks_held for t in transfers),
            chunks_wanted=sum(t.chunks_wanted for t in transfers),
            loading=self.engine_task.is_loading,
        )

    def _extra_status(self) -> dict:
        transfers = self.transfer_task.transfers.values()
        return {
            "gate": self.engine_task.gate.reason.value,
            "intended": [f"{ref.model}@{ref.version}" for ref in self.transfer_task.transfers],
            "chunk_bytes_sent": self.chunk_server.sent_bytes,
            "chunk_bytes_received": sum(t.received_bytes for t in transfers),
            "region_bytes_sent": self.chunk_server.sent_bytes_by_region,
            "tickets": len(self.forwarder.table),
        }

    def _serve_staged(self, request: Request, subpath: str) -> Response:
        kind, _, digest = subpath.partition("/")
        body = None
        if kind == "manifests" and digest in self.chunk_server.manifests:
            body = self.chunk_server.manifests[digest][0]
        elif kind == "chunks":
            body = self.chunk_server.store.get(digest)
        if body is None:
            return Response(404, b"not staged\n", "text/plain")
        return Response(200, body, "application/octet-stream")

    def _metrics(self, request: Request, subpath: str) -> Response:
        self._update_gauges()
        return self.daemon.render_metrics(request)

    def _update_gauges(self) -> None:
        set_gauge = self.daemon.set_gauge
        set_gauge("gate_open", "1 when requests pass", float(self.engine_task.gate.is_open))
        set_gauge("in_flight", "Requests at the upstream", self.forwarder.in_flight)
        set_gauge("attempts_run", "Attempts handed to the upstream", self.forwarder.runs)
        transfers = self.transfer_task.transfers.values()
        set_gauge(
            "chunks_held", "Chunks of intended versions", sum(t.chunks_held for t in transfers)
        )
        set_gauge("chunks_wanted", "All their chunks", sum(t.chunks_wanted for t in transfers))
        pulled_bytes = sum(t.pulled_origin_bytes for t in transfers)
        set_gauge("origin_bytes_pulled", "Bytes from store and origin", pulled_bytes)
        set_gauge("tickets", "Tickets remembered", len(self.forwarder.table))
        set_gauge("chunk_bytes_held", "Bytes of chunks", self.chunk_server.store.held_bytes)
        set_gauge("chunk_bytes_sent", "Bytes of chunks sent to peers", self.chunk_server.sent_bytes)
        for region, sent_bytes in self.chunk_server.sent_bytes_by_region.items():
            name = "region_bytes_sent"
            set_gauge(name, "Bytes of chunks sent to a region", sent_bytes, {"region": region})


@define(eq=False)
class AgentPeerHandler(PeerHandler):
    """Peer interface of an agent, which also serves manifests, chunks and ticket seals."""

    agent: Agent

    def manifest(self, manifest_digest: str) -> bytes:
        """Return a manifest's bytes, or empty bytes if it is not held."""
        held_manifest = self.agent.chunk_server.manifests.get(manifest_digest)
        return held_manifest[0] if held_manifest else b""

    def chunk(self, ask: ttypes.ChunkAsk) -> ttypes.Chunk:
        """Return one of the requested chunks, waiting for it within bounds."""
        return self.agent.chunk_server.serve(ask)

    def seal(self, ask: ttypes.SealAsk) -> ttypes.SealAnswer:
        """Seal a ticket unless it has arrived; return its state and any crash attribution."""
        try:
            outcome = self.agent.forwarder.seal(ask.ticket)
            crashed = self.agent.forwarder.is_crash_attributed(ask.ticket)
        except ValueError:
            return ttypes.SealAnswer(RecordState.UNKNOWN.value, False)
        return ttypes.SealAnswer(outcome.state.value, crashed)


def run_agent(settings: AgentSettings) -> None:
    """Run an agent until it receives a stop signal and its requests have ended."""
    agent = Agent(settings)
    agent.start()
    agent.daemon.run_until_stopped(lambda: agent.forwarder.in_flight, STOP_LINGER_S)
