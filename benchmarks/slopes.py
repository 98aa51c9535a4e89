"""Measure memory and CPU time at four sizes each and fit a line."""

from __future__ import annotations

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from statistics import linear_regression

from attrs import frozen
from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.distribution import plan_distribution
from daisystack.core.idempotency import IdempotencyTable, RecordedAnswer
from daisystack.core.manifests import read_manifest
from daisystack.core.peers import PeerTable
from daisystack.core.readers import agent_neighbors, entry_neighbors
from daisystack.core.register import SiteDocument
from daisystack.core.tickets import mint_ticket
from daisystack.core.transfer import TransferState
from daisystack.core.validation import read_document
from daisystack.standins.site import SiteLayout, build_site_document
from daisystack.standins.weights import generate_version
from daisystack.testing import build_status
from daisystack.wire.convert import pack_bits, status_to_wire

REGIONS = ("r1", "r2", "r3", "r4")
VERSION = generate_version("assistant", "a", 64_000, 1000, 1)


@frozen
class Slope:
    """Measured values by size, printed with their linear regression."""

    name: str
    unit: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]

    def __str__(self) -> str:
        slope, intercept = linear_regression(self.sizes, self.values)
        points = ", ".join(f"{s}: {v:.4g}" for s, v in zip(self.sizes, self.values, strict=True))
        return f"| {self.name} | {points} | {slope:.4g} {self.unit} | {intercept:.4g} |"


def measure(
    name: str, unit: str, sizes: tuple[int, ...], function: Callable[[int], float]
) -> Slope:
    """Call a function with each size and return the values as a slope."""
    return Slope(name, unit, sizes, tuple(function(size) for size in sizes))


def allocated_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that a built object keeps allocated."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(size_bytes)


def cpu_s_per_call(function: Callable[[], object], repeats: int) -> float:
    """Return the mean CPU time of one call, in seconds."""
    started_s = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started_s) / repeats


def build_document_body(instances: int) -> bytes:
    """Return the body of a document that lists a number of upstreams."""
    layout = SiteLayout("10.0.0.1", 7000, REGIONS, 8, instances, 0, max_loading=31)
    raw = build_site_document(layout, [VERSION], "a")
    for index, instance in enumerate(raw["register"]["instances"]):
        instance["http_address"] = f"10.{index >> 8}.{index & 255}.1:80"
        instance["peer_address"] = f"10.{index >> 8}.{index & 255}.1:81"
    return json.dumps(raw, separators=(",", ":")).encode()


def fill_table(count: int, answer_bytes: int) -> IdempotencyTable:
    """Return a table with a number of finished tickets and their answers."""
    table = IdempotencyTable("m1", "1", max_records=10**7, max_answer_bytes=10**9)
    for index in range(count):
        ticket = mint_ticket("m1", "1", 0.0, 600.0, f"{index:016x}")
        table.begin(ticket, f"{index:064x}", 1.0)
        table.finish(ticket, RecordedAnswer(200, "application/json", bytes(answer_bytes)))
    return table


def fill_peers(count: int) -> PeerTable:
    """Return a table of peers that have sent one heartbeat each."""
    peers = PeerTable()
    for index in range(count):
        peers.apply_heartbeat(build_status(f"instance-{index}"), 1.0)
    return peers


def build_transfer(document: SiteDocument, chunks: int) -> TransferState:
    """Return a transfer of a number of chunks that has just started."""
    version = generate_version("assistant", "a", chunks * 16, 16, 1)
    manifest = read_manifest(version.manifest_body, version.manifest_digest)
    ref = next(iter(document.intended_weights("m1")))
    plan = plan_distribution(document, ref, "m1")
    return TransferState(plan, manifest, 0.0, 0.0, set(range(chunks)))


def status_bytes() -> int:
    """Return the encoded size of the status that a heartbeat carries."""
    buffer = TMemoryBuffer()
    status = build_status("m1234", serving=frozenset())
    status_to_wire(status).write(TBinaryProtocolAccelerated(buffer))
    return len(buffer.getvalue())


def document_slopes() -> list[Slope]:
    """Return the measures that grow with the register."""
    sizes = (250, 500, 1000, 2000)
    bodies = {size: build_document_body(size) for size in sizes}
    documents = {size: read_document(body) for size, body in bodies.items()}

    def grow(name: str, unit: str, function: Callable[[int], float]) -> Slope:
        return measure(name, unit, sizes, function)

    return [
        grow("document, bytes", "B/instance", lambda n: float(len(bodies[n]))),
        grow(
            "document, memory",
            "B/instance",
            lambda n: allocated_bytes(lambda: read_document(bodies[n])),
        ),
        grow(
            "document, validate s",
            "s/instance",
            lambda n: cpu_s_per_call(lambda: read_document(bodies[n]), 3),
        ),
        grow(
            "agent's neighbours s",
            "s/instance",
            lambda n: cpu_s_per_call(lambda: agent_neighbors(documents[n], "m1"), 3),
        ),
        grow(
            "entry's neighbours s",
            "s/instance",
            lambda n: cpu_s_per_call(lambda: entry_neighbors(documents[n], "e1"), 3),
        ),
        grow(
            "agent's neighbours",
            "peers/instance",
            lambda n: float(len(agent_neighbors(documents[n], "m1"))),
        ),
        grow(
            "entry's neighbours",
            "peers/instance",
            lambda n: float(len(entry_neighbors(documents[n], "e1"))),
        ),
    ]


def state_slopes() -> list[Slope]:
    """Return the measures that grow with tickets, peers and chunks."""
    tickets, peers, chunks = (1000, 2000, 4000, 8000), (100, 200, 400, 800), (500, 1000, 2000, 4000)
    document = read_document(build_document_body(250))
    return [
        measure(
            "ticket, memory",
            "B/ticket",
            tickets,
            lambda n: allocated_bytes(lambda: fill_table(n, 0)),
        ),
        measure(
            "ticket with 200 B answer, memory",
            "B/ticket",
            tickets,
            lambda n: allocated_bytes(lambda: fill_table(n, 200)),
        ),
        measure("peer, memory", "B/peer", peers, lambda n: allocated_bytes(lambda: fill_peers(n))),
        measure(
            "transfer, memory",
            "B/chunk",
            chunks,
            lambda n: allocated_bytes(lambda: build_transfer(document, n)),
        ),
        measure(
            "transfer, one ring request s",
            "s/chunk",
            chunks,
            lambda n: _ring_request_s(build_transfer(document, n)),
        ),
        measure(
            "transfer, packing a request s",
            "s/chunk",
            chunks,
            lambda n: cpu_s_per_call(lambda: pack_bits(frozenset(range(n)), n), 20),
        ),
    ]


def main() -> None:
    """Print the table, one row per slope."""
    print("| what | points | slope | at 0 |")
    print("|---|---|---|---|")
    for slope in [*document_slopes(), *state_slopes()]:
        print(slope, flush=True)
    print(f"\nstatus on the wire: {status_bytes()} B and 8 B a frame, plus 80 B a served model")


def _ring_request_s(transfer: TransferState) -> float:
    return cpu_s_per_call(lambda: transfer.ring_request(True, 0.5), 20)


if __name__ == "__main__":
    main()
