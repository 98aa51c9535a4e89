"""Fetch the chunks of the intended versions from peers, the store and the origin."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.backends import BackendError, RateLimited, WeightSource
from daisystack.core.chunk_store import ChunkStore, StoreFull
from daisystack.core.distribution import plan_distribution
from daisystack.core.manifests import ChunkFault, Manifest, read_manifest
from daisystack.core.register import ModelRef, SiteDocument
from daisystack.core.transfer import ChunkRequest, TransferState
from daisystack.runtime.chunk_server import ChunkServer
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import (
    ChunkRejected,
    RolloutDone,
    RolloutStarted,
    WeightSourceFailed,
)
from daisystack.runtime.logs import log_event
from daisystack.runtime.peer_link import PeerError, PeerLink
from daisystack.wire.convert import pack_bits
from daisystack.wire.gen import ttypes

__all__ = ["Transfer", "TransferTask"]

ORIGIN_WORKERS = 2
RING_WAIT_MS = 500
REGION_WAIT_MS = 1000
PEER_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.05
MANIFEST_RETRY_S = 0.5

NextRequest = Callable[[], ChunkRequest | None]

_logger = logging.getLogger("daisystack.transfer")


@define(eq=False)
class Transfer:
    """Own the links and workers that fetch one version; cancelled when the intent changes."""

    own_id: str
    ref: ModelRef
    document: SiteDocument
    store: ChunkStore
    chunk_server: ChunkServer
    sources: tuple[WeightSource, ...]
    # A changed document restarts the transfer; earlier pulls still count toward the origin budget.
    origin_chunks_pulled_before: int = 0
    state: TransferState | None = None
    is_cancelled: bool = False
    pulled_origin_bytes: int = 0
    received_bytes: int = 0

    @property
    def is_complete(self) -> bool:
        """Return whether all chunks are held and verified."""
        return self.state is not None and self.state.is_complete

    @property
    def origin_chunks_pulled(self) -> int:
        """Return the number of chunks of this version pulled from the store and the origin."""
        return self.state.origin_chunks_pulled if self.state else self.origin_chunks_pulled_before

    @property
    def chunks_wanted(self) -> int:
        """Return the number of chunks of the version, 0 until its manifest has been received."""
        return len(self.state.manifest.chunks) if self.state else 0

    @property
    def chunks_held(self) -> int:
        """Return the number of chunks held, 0 until the manifest has been received."""
        return self.chunks_wanted - len(self.state.missing) if self.state else 0

    def needs_restart(self, document: SiteDocument) -> bool:
        """Return whether a new document changes the peers from which this transfer pulls."""
        old = plan_distribution(self.document, self.ref, self.own_id)
        new = plan_distribution(document, self.ref, self.own_id)
        members = {member for ring in new.rings.values() for member in ring}
        moved = any(self._peer_address(m) != document.instances[m].peer_address for m in members)
        return moved or old != new

    def run(self) -> None:
        """Fetch the manifest, then all chunks."""
        manifest = self._fetch_manifest()
        if manifest is None:
            return
        self.state = self._create_state(manifest)
        for from_predecessors in (True, False):
            eventlet.spawn(
                self._pull_from_peers, self._next_ring_request(from_predecessors), RING_WAIT_MS
            )
        for region in self.state.plan.rings:
            if region != self.state.plan.region:
                eventlet.spawn(
                    self._pull_from_peers, self._next_region_request(region), REGION_WAIT_MS
                )
        for _ in range(ORIGIN_WORKERS):
            eventlet.spawn(self._pull_from_origin)
        while not self.is_complete and not self.is_cancelled:
            eventlet.sleep(POLL_INTERVAL_S)
        if self.is_complete:
            took_s = now_s() - self.state.started_s
            done = RolloutDone(self.ref.model, self.ref.version, took_s, self.state.reused_bytes)
            log_event(_logger, done)

    def _create_state(self, manifest: Manifest) -> TransferState:
        missing = {i for i, c in enumerate(manifest.chunks) if c.digest not in self.store}
        reused = [c.size_bytes for i, c in enumerate(manifest.chunks) if i not in missing]
        plan = plan_distribution(self.document, self.ref, self.own_id)
        at_s = now_s()
        started = RolloutStarted(
            self.ref.model, self.ref.version, len(manifest.chunks), len(reused)
        )
        log_event(_logger, started)
        state = TransferState(plan, manifest, at_s, at_s, missing, sum(reused))
        state.origin_chunks_pulled = self.origin_chunks_pulled_before
        return state

    def _fetch_manifest(self) -> Manifest | None:
        digest = self.ref.manifest_digest
        attempt = 0
        while not self.is_cancelled:
            source = self.sources[attempt % len(self.sources)]
            attempt += 1
            try:
                body = self._manifest_from_peer(digest) or source.manifest(digest)
                manifest = read_manifest(body, digest)
            except BackendError as error:
                log_event(_logger, WeightSourceFailed("manifest", str(error)))
            except ChunkFault as error:
                log_event(_logger, ChunkRejected("manifest", str(error)))
            else:
                self.chunk_server.manifests[digest] = (body, manifest)
                return manifest
            eventlet.sleep(MANIFEST_RETRY_S)
        return None

    def _manifest_from_peer(self, digest: str) -> bytes:
        plan = plan_distribution(self.document, self.ref, self.own_id)
        for member in plan.predecessors[:1]:
            link = PeerLink(self._peer_address(member))
            try:
                body = link.call("manifest", digest)
                read_manifest(body, digest)
                return body
            except (PeerError, ChunkFault):
                continue
            finally:
                link.close()
        return b""

    def _next_ring_request(self, from_predecessors: bool) -> NextRequest:
        return lambda: self.state.ring_request(from_predecessors, now_s())

    def _next_region_request(self, region: str) -> NextRequest:
        return lambda: self.state.region_request(region, now_s())

    def _pull_from_peers(self, next_request: NextRequest, wait_ms: int) -> None:
        link: PeerLink | None = None
        while not self.is_complete and not self.is_cancelled:
            request = next_request()
            if request is None:
                eventlet.sleep(POLL_INTERVAL_S)
                continue
            address = self._peer_address(request.instance_id)
            if link is None or link.address != address:
                if link is not None:
                    link.close()
                link = PeerLink(address, PEER_TIMEOUT_S)
            self._pull_chunk(link, request, wait_ms)
        if link is not None:
            link.close()

    def _pull_from_origin(self) -> None:
        attempt = 0
        while not self.is_complete and not self.is_cancelled:
            index = self.state.next_origin_chunk(now_s())
            if index is None:
                eventlet.sleep(POLL_INTERVAL_S)
                continue
            self.state.begin_pull(index)
            try:
                if not self._pull_from_neighbors(index) and not self._pull_from_source(
                    index, attempt
                ):
                    attempt += 1
                    eventlet.sleep(POLL_INTERVAL_S)
            finally:
                self.state.end_pull(index)

    def _pull_from_neighbors(self, index: int) -> bool:
        for member in self.state.neighbors_to_query(index, now_s()):
            link = PeerLink(self._peer_address(member), PEER_TIMEOUT_S)
            try:
                if self._pull_chunk(link, ChunkRequest(member, frozenset({index})), 0):
                    return True
            finally:
                link.close()
        return False

    def _pull_chunk(self, link: PeerLink, request: ChunkRequest, wait_ms: int) -> bool:
        wanted = pack_bits(request.indexes, len(self.state.manifest.chunks))
        ask = ttypes.ChunkAsk(self.ref.manifest_digest, wanted, wait_ms, self.own_id)
        member = request.instance_id
        try:
            chunk = link.call("chunk", ask)
        except PeerError:
            self.state.avoid(member, False, now_s())
            return False
        if chunk.index < 0:
            return False
        self.received_bytes += len(chunk.body)
        if chunk.index not in request.indexes:
            self._reject(member, "a chunk that was not requested")
            return False
        return self._store_chunk(chunk.index, chunk.body, member)

    def _pull_from_source(self, index: int, attempt: int) -> bool:
        source = self.sources[attempt % len(self.sources)]
        self.state.origin_chunks_pulled += 1
        try:
            body = source.chunk(self.state.manifest.chunks[index].digest)
        except RateLimited as error:
            self.state.origin_chunks_pulled -= 1
            eventlet.sleep(error.retry_after_s)
            return False
        except BackendError as error:
            log_event(_logger, WeightSourceFailed("chunk", str(error)))
            return False
        self.pulled_origin_bytes += len(body)
        return self._store_chunk(index, body, None)

    def _store_chunk(self, index: int, body: bytes, member: str | None) -> bool:
        try:
            self.store.put(self.state.manifest.chunks[index], body)
        except ChunkFault as error:
            self._reject(member, str(error))
            return False
        except StoreFull as error:
            log_event(_logger, ChunkRejected("own store", str(error)))
            eventlet.sleep(MANIFEST_RETRY_S)
            return False
        region = self._region_of(member) if member is not None else None
        self.state.record_chunk(index, region, now_s())
        self.chunk_server.wake_waiters()
        return True

    def _reject(self, member: str | None, error: str) -> None:
        log_event(_logger, ChunkRejected(member or "origin", error))
        if member is not None:
            self.state.avoid(member, True, now_s())

    def _region_of(self, instance_id: str) -> str:
        return self.document.region_of(self.document.instances[instance_id])

    def _peer_address(self, instance_id: str) -> str | None:
        instance = self.document.instances.get(instance_id)
        return instance.peer_address if instance is not None else None


@define(eq=False)
class TransferTask:
    """Run one transfer per intended version, cancel all others and protect chunks in use."""

    own_id: str
    store: ChunkStore
    chunk_server: ChunkServer
    sources: tuple[WeightSource, ...]
    transfers: dict[ModelRef, Transfer] = field(factory=dict)

    def apply_document(self, document: SiteDocument) -> None:
        """Start transfers of newly intended versions and cancel those no longer intended."""
        intent = document.intended_weights(self.own_id)
        for ref in list(self.transfers):
            if ref not in intent:
                self.transfers.pop(ref).is_cancelled = True
        for ref in sorted(intent):
            running = self.transfers.get(ref)
            if running is None:
                self._start(ref, document, 0)
            elif not running.is_complete and running.needs_restart(document):
                running.is_cancelled = True
                self._start(ref, document, running.origin_chunks_pulled)

    def is_complete(self, intent: frozenset[ModelRef]) -> bool:
        """Return whether all chunks of the intended versions are held."""
        return all(ref in self.transfers and self.transfers[ref].is_complete for ref in intent)

    def keep_in_use(self, serving: frozenset[ModelRef]) -> None:
        """Protect the chunks of intended and served versions from eviction."""
        digests = set()
        for ref in [*self.transfers, *serving]:
            held_manifest = self.chunk_server.manifests.get(ref.manifest_digest)
            if held_manifest is not None:
                digests.update(chunk.digest for chunk in held_manifest[1].chunks)
        self.store.mark_in_use(digests)

    def _start(
        self, ref: ModelRef, document: SiteDocument, origin_chunks_pulled_before: int
    ) -> None:
        transfer = Transfer(
            self.own_id,
            ref,
            document,
            self.store,
            self.chunk_server,
            self.sources,
            origin_chunks_pulled_before,
        )
        self.transfers[ref] = transfer
        eventlet.spawn(transfer.run)
