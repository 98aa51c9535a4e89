"""Serve held chunks to peers within the rate limits of the links."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from attrs import define, field
from eventlet.event import Event

from daisystack.core.chunk_store import ChunkStore
from daisystack.core.manifests import Manifest
from daisystack.core.pacing import TokenBucket
from daisystack.core.register import SiteDocument
from daisystack.runtime.clock import now_s
from daisystack.wire.convert import unpack_bits
from daisystack.wire.gen import ttypes

__all__ = ["ChunkServer"]

MAX_WAIT_S = 2.0
MS_PER_S = 1000
BURST_S = 0.25
MIN_BURST_BYTES = 65_536.0


@define(eq=False)
class ChunkServer:
    """Serve chunks to peers, waiting for missing chunks and limiting the sending rate."""

    own_id: str
    store: ChunkStore
    get_document: Callable[[], SiteDocument | None]
    manifests: dict[str, tuple[bytes, Manifest]] = field(factory=dict)
    sent_bytes: int = 0
    sent_bytes_by_region: dict[str, int] = field(factory=dict)
    _chunk_arrived: Event = field(factory=Event)
    _buckets: dict[tuple[str, float], TokenBucket] = field(factory=dict)

    def wake_waiters(self) -> None:
        """Wake the requests that wait for a chunk."""
        chunk_arrived, self._chunk_arrived = self._chunk_arrived, Event()
        chunk_arrived.send()

    def serve(self, ask: ttypes.ChunkAsk) -> ttypes.Chunk:
        """Return one of the requested chunks, or index -1 if none is held within the wait time.

        The wait time of the request is limited to MAX_WAIT_S.
        """
        deadline_s = now_s() + min(ask.wait_ms / MS_PER_S, MAX_WAIT_S)
        wanted = unpack_bits(ask.wanted)
        while True:
            chunk_arrived = self._chunk_arrived
            chunk = self._find_held_chunk(ask.manifest_digest, wanted)
            if chunk is not None:
                self._throttle(ask.from_instance, len(chunk.body))
                return chunk
            time_left_s = deadline_s - now_s()
            if time_left_s <= 0:
                return ttypes.Chunk(-1, b"")
            with eventlet.Timeout(time_left_s, False):
                chunk_arrived.wait()

    def _find_held_chunk(self, manifest_digest: str, wanted: list[int]) -> ttypes.Chunk | None:
        held_manifest = self.manifests.get(manifest_digest)
        if held_manifest is None:
            return None
        chunks = held_manifest[1].chunks
        for index in wanted:
            body = self.store.get(chunks[index].digest) if index < len(chunks) else None
            if body is not None:
                return ttypes.Chunk(index, body)
        return None

    def _throttle(self, requester: str, size_bytes: int) -> None:
        document = self.get_document()
        self.sent_bytes += size_bytes
        if document is None or self.own_id not in document.instances:
            return
        links = document.rules.links
        delay_s = self._bucket("instance", links.instance_bytes_per_s).delay_s(size_bytes, now_s())
        instance = document.instances.get(requester)
        own_region = document.region_of(document.instances[self.own_id])
        peer_region = document.region_of(instance) if instance is not None else own_region
        if peer_region != own_region:
            sent_bytes = self.sent_bytes_by_region.get(peer_region, 0) + size_bytes
            self.sent_bytes_by_region[peer_region] = sent_bytes
            bucket = self._bucket(peer_region, self._region_rate(document, own_region, peer_region))
            delay_s = max(delay_s, bucket.delay_s(size_bytes, now_s()))
        if delay_s:
            eventlet.sleep(delay_s)

    def _region_rate(self, document: SiteDocument, own_region: str, peer_region: str) -> float:
        pool = document.instances[self.own_id].pool
        senders = sum(
            1 for i in document.upstreams if i.pool == pool and document.region_of(i) == own_region
        )
        for pair in document.rules.links.region_pairs:
            if {pair.a, pair.b} == {own_region, peer_region}:
                return pair.bytes_per_s / max(1, senders)
        return 0.0

    def _bucket(self, name: str, bytes_per_s: float) -> TokenBucket:
        key = (name, bytes_per_s)
        if key not in self._buckets:
            burst_bytes = max(MIN_BURST_BYTES, BURST_S * bytes_per_s)
            self._buckets[key] = TokenBucket(bytes_per_s, burst_bytes)
        return self._buckets[key]
