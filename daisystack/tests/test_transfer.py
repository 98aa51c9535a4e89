"""Test the scheduling of chunk requests, and transfers from faulty sources and peers."""

import json
import unittest

import eventlet
from thrift.transport.TTransport import TTransportException

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.core.addresses import parse_address
from daisystack.core.chunk_store import ChunkStore, StoreFull
from daisystack.core.distribution import plan_distribution
from daisystack.core.manifests import (
    MAX_CHUNK_BYTES,
    ChunkFault,
    ChunkRef,
    digest_bytes,
    read_manifest,
)
from daisystack.core.regions import RegionTrees
from daisystack.core.register import ModelRef, RegionPair
from daisystack.core.transfer import TransferState
from daisystack.core.validation import read_document
from daisystack.runtime import transfer_task
from daisystack.runtime.chunk_server import ChunkServer
from daisystack.runtime.peer_link import PeerLink, serve_peers
from daisystack.runtime.transfer_task import TransferTask
from daisystack.standins.weights import generate_version
from daisystack.testing import build_raw_document, build_version
from daisystack.testing.fakes import FakeWeightSource
from daisystack.testing.scripted import ScriptedServer, build_answer, free_address, send_and_close
from daisystack.wire.convert import unpack_bits
from daisystack.wire.gen import ttypes

CHUNK_BYTES = 500
A, B = build_version("a"), build_version("b")


def parse_document(serve="a", versions=(A, B), **layout):
    raw = build_raw_document(serve, list(versions), **layout)
    return read_document(json.dumps(raw).encode())


def ref_of(version):
    return ModelRef("assistant", version.version, version.manifest_digest)


def chunk_body(index):
    return list(A.chunks.values())[index]


def flip_first_bit(body):
    return bytes([body[0] ^ 1]) + body[1:]


class TestPlan(unittest.TestCase):
    def test_three_equal_regions_carry_half_a_copy_on_each_link(self):
        pairs = [RegionPair(a, b, 1.0) for a, b in (("o", "x"), ("o", "y"), ("x", "y"))]
        trees = RegionTrees.build("o", ["o", "x", "y"], pairs)
        links = self.count_links(trees, 1000)
        self.assertEqual(set(links), {("o", "x"), ("o", "y"), ("x", "y"), ("y", "x")})
        for carried in links.values():
            self.assertAlmostEqual(carried, 0.5, delta=0.01)

    def test_four_regions_carry_a_third_and_slow_links_less(self):
        names = ["o", "x", "y", "z"]
        pairs = [RegionPair(a, b, 1.0) for i, a in enumerate(names) for b in names[i + 1 :]]
        links = self.count_links(RegionTrees.build("o", names, pairs), 3000)
        self.assertAlmostEqual(max(links.values()), 1 / 3, delta=0.01)
        pairs[0] = RegionPair("o", "x", 0.5)
        links = self.count_links(RegionTrees.build("o", names, pairs), 3000)
        self.assertAlmostEqual(links[("o", "x")], 0.2, delta=0.01)
        self.assertAlmostEqual(links[("o", "y")], 0.4, delta=0.01)

    def test_two_regions_and_unknown_rates(self):
        links = self.count_links(RegionTrees.build("o", ["o", "x"], []), 10)
        self.assertEqual(set(links), {("o", "x")})
        self.assertAlmostEqual(links[("o", "x")], 1.0)

    def test_each_chunk_has_one_fetcher_per_region_and_predecessors_are_distinct(self):
        document = parse_document()
        plans = [plan_distribution(document, ref_of(A), f"m{i}") for i in range(1, 7)]
        for index in range(8):
            firsts = {(p.region, p.fetchers(index, p.region)[0]) for p in plans}
            self.assertEqual(len(firsts), 3)
        nearest_predecessors = [plan.predecessors[0] for plan in plans]
        self.assertEqual(len(set(nearest_predecessors)), 6)

    def test_origin_budgets_together_stay_within_max_origin_copies(self):
        document = parse_document()
        plans = [plan_distribution(document, ref_of(A), f"m{i}") for i in range(1, 7)]
        budget = sum(plan.origin_budget(100).chunks for plan in plans)
        self.assertLessEqual(budget, 4.0 * 100)
        self.assertGreaterEqual(plans[0].origin_budget(100).chunks, 100)

    def count_links(self, trees, count):
        links = {}
        for index in range(count):
            for region in (trees.origin_region, *trees.far_regions):
                parent = trees.parent(index, region)
                if parent is not None:
                    links[(parent, region)] = links.get((parent, region), 0) + 1 / count
        return links


class TestTransferState(unittest.TestCase):
    def state(self, own_id="m2"):
        document = parse_document()
        manifest = read_manifest(A.manifest_body, A.manifest_digest)
        plan = plan_distribution(document, ref_of(A), own_id)
        return TransferState(plan, manifest, 0.0, 0.0, set(range(len(manifest.chunks))))

    def test_a_late_fetcher_is_replaced_by_the_next_rank(self):
        state = self.state("m4")
        own_index = state.next_origin_chunk(0.0)
        self.assertEqual(state.plan.fetchers(own_index, "mtl")[0], "m4")
        for index in list(state.missing):
            if state.plan.fetchers(index, "mtl")[0] == "m4":
                state.record_chunk(index, None, 1.0)
        self.assertIsNone(state.next_origin_chunk(2.9))
        self.assertIsNotNone(state.next_origin_chunk(3.1))

    def test_all_chunks_of_a_late_fetcher_are_reassigned_at_once(self):
        state = self.state("m4")
        late_chunks = [i for i in sorted(state.missing) if state.plan.fetchers(i, "mtl")[0] == "m1"]
        for index in sorted(state.missing - set(late_chunks)):
            state.record_chunk(index, None, 1.0)
        self.assertIsNone(state.next_origin_chunk(2.9))
        for at_s in (3.0, 3.1, 3.2, 3.3):
            index = state.next_origin_chunk(at_s)
            self.assertIn(index, late_chunks)
            state.record_chunk(index, None, at_s)
        self.assertTrue(state.is_complete)

    def test_unresponsive_region_is_replaced_by_another_then_by_the_origin(self):
        state = self.state("m2")
        index = next(i for i in state.missing if state.plan.fetchers(i, "qc")[0] == "m2")
        requested = []
        for at_s in (0.0, 2.1, 4.2):
            regions = [r for r in ("mtl", "sag") if self.requests_chunk(state, r, index, at_s)]
            requested.append(regions[0] if regions else state.next_origin_chunk(at_s) is not None)
        self.assertEqual(sorted(requested[:2]), ["mtl", "sag"])
        self.assertIs(requested[2], True)

    def requests_chunk(self, state, region, index, at_s):
        request = state.region_request(region, at_s)
        return request is not None and index in request.indexes

    def test_member_that_sent_corrupt_bytes_is_avoided_longer(self):
        state = self.state("m4")
        self.assertEqual(state.ring_request(True, 0.0).instance_id, "m1")
        state.avoid("m1", True, 0.0)
        self.assertIsNone(state.ring_request(True, 60.0))
        state.avoid("m1", False, 0.0)
        self.assertIsNotNone(state.ring_request(True, 60.0))

    def test_chunk_travels_at_most_half_the_ring_in_each_direction(self):
        document = parse_document(regions=["mtl"], agents=7, ledgers=0, entries=1)
        for index in range(7):
            hops = []
            for number in range(1, 8):
                plan = plan_distribution(document, ref_of(A), f"m{number}")
                hops.append(self.count_hops(plan, document, index))
            self.assertEqual(sorted(hops), [0, 1, 1, 2, 2, 3, 3])

    def count_hops(self, plan, document, index):
        hops = 0
        while plan.own_id != plan.fetchers(index, plan.region)[0]:
            side = plan.predecessors if plan.arrives_from_predecessor(index) else plan.successors
            plan = plan_distribution(document, ref_of(A), side[0])
            hops += 1
        return hops

    def test_without_progress_both_neighbors_are_asked_for_all_chunks(self):
        document = parse_document(regions=["mtl"], agents=4, ledgers=0, entries=1)
        manifest = read_manifest(A.manifest_body, A.manifest_digest)
        plan = plan_distribution(document, ref_of(A), "m1")
        state = TransferState(plan, manifest, 0.0, 0.0, set(range(8)))
        requested = [state.ring_request(before, 0.0).indexes for before in (True, False)]
        self.assertEqual(requested[0] | requested[1], set(range(8)))
        self.assertFalse(requested[0] & requested[1])
        stalled = [state.ring_request(before, 1.1).indexes for before in (True, False)]
        self.assertEqual(stalled, [set(range(8))] * 2)

    def test_origin_budget_is_never_exceeded(self):
        state = self.state("m2")
        state.origin_chunks_pulled = state.plan.origin_budget(len(state.manifest.chunks)).chunks
        self.assertIsNone(state.next_origin_chunk(1000.0))


class TestLimits(unittest.TestCase):
    def test_the_largest_chunk_fits_a_frame_between_peers(self):
        body = bytes(MAX_CHUNK_BYTES)

        class Handler:
            def chunk(self, ask):
                return ttypes.Chunk(0, body)

        address = free_address()
        self.addCleanup(serve_peers(parse_address(address), Handler()).kill)
        link = PeerLink(address, 20.0)
        self.addCleanup(link.close)
        ask = ttypes.ChunkAsk("d", b"\x80", 0, "m1")
        self.assertEqual(len(link.call("chunk", ask).body), MAX_CHUNK_BYTES)

    def test_platform_response_over_the_size_limit_is_rejected(self):
        server = ScriptedServer([send_and_close(build_answer(b"x" * 101))])
        self.addCleanup(server.close)
        endpoint = HttpEndpoint(server.address)
        self.assertEqual(len(endpoint.call("GET", "/", max_bytes=101).body), 101)
        with self.assertRaises(BackendError):
            endpoint.call("GET", "/", max_bytes=100)

    def test_truncated_platform_response_is_rejected(self):
        for sent in (build_answer(b"x", length=9), b"", b"HTTP/1.1 200 OK\r\nConte"):
            server = ScriptedServer([send_and_close(sent)])
            self.addCleanup(server.close)
            with self.subTest(sent=sent), self.assertRaises(BackendError):
                HttpEndpoint(server.address).call("GET", "/")


class TestStore(unittest.TestCase):
    def test_only_verified_bytes_are_held(self):
        store = ChunkStore(100)
        ref = ChunkRef(digest_bytes(b"good"), 4)
        for wrong in (b"goof", b"goo", b"good ", b""):
            with self.subTest(wrong=wrong), self.assertRaises(ChunkFault):
                store.put(ref, wrong)
        self.assertNotIn(ref.digest, store)

    def test_full_store_evicts_unused_chunks_or_raises(self):
        store = ChunkStore(10)
        refs = [ChunkRef(digest_bytes(bytes([i]) * 4), 4) for i in range(4)]
        for i in range(2):
            store.put(refs[i], bytes([i]) * 4)
        store.mark_in_use([refs[1].digest])
        store.put(refs[2], bytes([2]) * 4)
        self.assertEqual([r.digest in store for r in refs], [False, True, True, False])
        store.mark_in_use([refs[1].digest, refs[2].digest])
        with self.assertRaises(StoreFull):
            store.put(refs[3], bytes([3]) * 4)

    def test_invalid_manifests_are_rejected(self):
        body = A.manifest_body
        table = [
            (flip_first_bit(body), A.manifest_digest),
            (body, B.manifest_digest),
            (b"{}", digest_bytes(b"{}")),
            (body[:-1], digest_bytes(body[:-1])),
        ]
        for wrong, digest in table:
            with self.subTest(wrong=wrong[:10]), self.assertRaises(ChunkFault):
                read_manifest(wrong, digest)


class TestOneAgentsTransfer(unittest.TestCase):
    """Transfers of one agent in a single region, with faulty sources or a faulty peer."""

    def setUp(self):
        self.saved = transfer_task.MANIFEST_RETRY_S
        transfer_task.MANIFEST_RETRY_S = 0.01

    def tearDown(self):
        transfer_task.MANIFEST_RETRY_S = self.saved

    def test_transfer_completes_despite_a_faulty_peer(self):
        def corrupt(ask):
            index = min(unpack_bits(ask.wanted))
            return ttypes.Chunk(index, flip_first_bit(chunk_body(index)))

        def unrequested(ask):
            index = next((i for i in range(8) if i not in unpack_bits(ask.wanted)), 8)
            return ttypes.Chunk(index, chunk_body(index % 8))

        def out_of_range(ask):
            return ttypes.Chunk(10_000, b"x")

        def oversized(ask):
            return ttypes.Chunk(min(unpack_bits(ask.wanted)), b"x" * 1_000_000)

        def drop_connection(ask):
            raise TTransportException()

        def stall(ask):
            eventlet.sleep(60.0)

        for fault in (corrupt, unrequested, out_of_range, oversized, drop_connection, stall):
            with self.subTest(fault=fault.__name__):
                self.fetch_with_faulty_peer(fault)

    def fetch_with_faulty_peer(self, fault):
        class Handler:
            chunk = staticmethod(fault)

            def manifest(self, digest):
                return flip_first_bit(A.manifest_body)

        address = free_address()
        self.addCleanup(serve_peers(parse_address(address), Handler()).kill)
        raw = build_raw_document("a", [A, B], regions=["mtl"], agents=2, ledgers=0, entries=1)
        raw["register"]["instances"][-1]["peer_address"] = address
        raw["rules"]["rollout"]["takeover_s"] = 0.05
        document = read_document(json.dumps(raw).encode())
        store = FakeWeightSource([A])
        self.fetch(store, store, [document])
        self.assertLessEqual(store.pulled_bytes, A.size_bytes)

    def fetch(self, store, origin, documents):
        document = documents[0]
        chunks = ChunkStore(10_000_000)
        server = ChunkServer("m1", chunks, lambda: document)
        task = TransferTask("m1", chunks, server, (store, origin))
        for each in documents:
            task.apply_document(each)
            eventlet.sleep(0.02)
        intent = documents[-1].intended_weights("m1")
        with eventlet.Timeout(20):
            while not task.is_complete(intent):
                eventlet.sleep(0.01)
        for ref in intent:
            manifest = read_manifest(server.manifests[ref.manifest_digest][0], ref.manifest_digest)
            bodies = [chunks.get(chunk.digest) for chunk in manifest.chunks]
            self.assertEqual([digest_bytes(b) for b in bodies], [c.digest for c in manifest.chunks])
        return task

    def test_transfer_completes_despite_faulty_sources(self):
        def fail(body):
            raise BackendError("cut")

        alone = parse_document(regions=["mtl"], agents=1, ledgers=0, entries=1)
        table = {
            "no fault": (dict(), 0),
            "one corrupted chunk": (dict(faults=[flip_first_bit]), 1),
            "corrupted twice": (dict(faults=[flip_first_bit, flip_first_bit]), 2),
            "truncated": (dict(faults=[lambda b: b[:-1]]), 1),
            "oversized": (dict(faults=[lambda b: b + b"x"]), 1),
            "cut": (dict(faults=[fail, fail, fail]), 3),
            "refused by rate": (dict(rate_refusals=5), 0),
            "store down": (dict(is_down=True), 0),
        }
        for name, (faults, wasted_chunks) in table.items():
            with self.subTest(name=name):
                store = FakeWeightSource([A, B], **faults)
                origin = FakeWeightSource([A, B])
                self.fetch(store, origin, [alone])
                pulled = store.pulled_bytes + origin.pulled_bytes
                self.assertLessEqual(pulled, A.size_bytes + wasted_chunks * CHUNK_BYTES)

    def test_version_replaced_or_rolled_back_during_transfer_is_never_mixed(self):
        layout = dict(regions=["mtl"], agents=1, ledgers=0, entries=1)
        documents = [parse_document(version, **layout) for version in ("a", "b", "a", "b")]
        self.fetch(FakeWeightSource([A, B]), FakeWeightSource([A, B]), documents)

    def test_chunks_already_held_are_not_pulled_again(self):
        layout = dict(regions=["mtl"], agents=1, ledgers=0, entries=1)
        half = generate_version("assistant", "h", 4000, 500, 1, A, 0.5)
        versions = (A, half)
        store = FakeWeightSource([A, half])
        documents = [parse_document(v, versions, **layout) for v in ("a", "h")]
        task = self.fetch(store, FakeWeightSource([]), [documents[0]])
        pulled = store.pulled_bytes
        task.apply_document(documents[1])
        with eventlet.Timeout(20):
            while not task.is_complete(documents[1].intended_weights("m1")):
                eventlet.sleep(0.01)
        self.assertEqual(store.pulled_bytes - pulled, A.size_bytes // 2)
