"""Measure the size and CPU time of mesh news as the numbers of entries and engines grow."""

from __future__ import annotations

import time

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.engine_status import EngineStatus
from daisystack.core.membership import Member, MemberRole
from daisystack.core.mirror import Mirror
from daisystack.runtime.mesh_task import MeshTask
from daisystack.wire.gen import ttypes

__all__ = ["main"]

# Numbers of entries and engines: the present deployment, grown ones, and steps to the target.
SIZES = ((8, 11), (36, 20), (150, 640), (600, 2550), (1200, 5100))
ROUNDS = 20


def build_mesh(entries: int, engines: int) -> MeshTask:
    """Return the mesh task of one entry that knows all other entries and all engines."""
    own = _entry(0)
    mirrors = (Mirror("op/"), Mirror("servers/"))
    mesh = MeshTask(own, (), mirrors, lambda mirror, changes: None)
    for index in range(1, entries):
        mesh.membership.apply_update(_entry(index), 0.1, 100.0)
    for index in range(engines):
        address = f"10.2.{index // 250}.{index % 250}:8001"
        mesh.engines.update(EngineStatus(address, 1_700_000_000_000, 2, True, False, 9, 1, 99.9))
    return mesh


def measure(entries: int, engines: int) -> tuple[int, float]:
    """Return the bytes of one message and the CPU seconds to build, encode, decode and apply it."""
    mesh = build_mesh(entries, engines)
    started_s = time.process_time()
    for _ in range(ROUNDS):
        buffer = TMemoryBuffer()
        mesh.build_news(100.0).write(TBinaryProtocolAccelerated(buffer))
        body = buffer.getvalue()
        news = ttypes.MeshNews()
        news.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
        mesh.apply_news(news, None)
    return len(body), (time.process_time() - started_s) / ROUNDS


def main() -> None:
    """Print the table, one row per size."""
    print("| entries | engines | bytes a message | processor ms to make, send and read it |")
    print("|---|---|---|---|")
    for entries, engines in SIZES:
        size_bytes, took_s = measure(entries, engines)
        print(f"| {entries} | {engines} | {size_bytes:,} | {took_s * 1000:.2f} |")


def _entry(index: int) -> Member:
    host = f"10.1.{index // 250}.{index % 250}"
    return Member(
        id=f"front-zone-{index}",
        incarnation="019abcdef01212345678",
        role=MemberRole.ENTRY,
        peer_address=f"{host}:8000",
        caller_address=f"{host}:8005",
        news_address=f"{host}:7700",
        zone="zone",
        region="region",
        is_ready=True,
        beat=index + 1,
    )


if __name__ == "__main__":
    main()
