"""Measure the size and CPU time of mesh news as the numbers of entries and zones grow."""

from __future__ import annotations

import time

from thrift.protocol.TBinaryProtocol import TBinaryProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from daisystack.core.membership import CONTACTS_PER_ZONE, Member, MemberRole
from daisystack.core.mirror import Mirror
from daisystack.runtime.mesh_task import MeshTask
from daisystack.wire.gen import ttypes

__all__ = ["main"]

# Numbers of entries and zones: the present deployments, and steps to the target.
SIZES = ((8, 3), (36, 3), (99, 5), (300, 9), (1200, 9))
ROUNDS = 20


def build_mesh(entries: int, zones: int) -> MeshTask:
    """Return the mesh task of one entry that knows its zone and the contacts of other zones."""
    own = _entry(0, zones)
    mirrors = (Mirror("op/"), Mirror("servers/"))
    mesh = MeshTask(own, (), mirrors, lambda mirror, changes: None)
    for index in range(1, entries):
        is_contact = index // zones < CONTACTS_PER_ZONE
        if index % zones == 0 or is_contact:
            mesh.membership.apply_update(_entry(index, zones), 0.1, 100.0)
    return mesh


def measure(entries: int, zones: int) -> tuple[int, float]:
    """Return the bytes of one message and the CPU seconds to build, encode, decode and apply it.

    The message goes to an entry of the same zone that lacks no member.
    """
    mesh = build_mesh(entries, zones)
    started_s = time.process_time()
    for _ in range(ROUNDS):
        buffer = TMemoryBuffer()
        mesh.build_news(100.0, mesh.own.zone).write(TBinaryProtocolAccelerated(buffer))
        body = buffer.getvalue()
        news = ttypes.MeshNews()
        news.read(TBinaryProtocolAccelerated(TMemoryBuffer(body)))
        mesh.apply_news(news, None)
    return len(body), (time.process_time() - started_s) / ROUNDS


def measure_rank(entries: int, zones: int) -> float:
    """Return the CPU seconds to find an entry's rank for a duty of its zone."""
    mesh = build_mesh(entries, zones)
    mesh.rank_in_zone("reader", 100.0)
    started_s = time.process_time()
    for _ in range(ROUNDS):
        mesh.rank_in_zone("reader", 100.0)
    return (time.process_time() - started_s) / ROUNDS


def main() -> None:
    """Print the table, one row per size."""
    print(
        "| entries | zones | bytes a message | ms to make, send and read it | ms to find a rank |"
    )
    print("|---|---|---|---|---|")
    for entries, zones in SIZES:
        size_bytes, took_s = measure(entries, zones)
        rank_s = measure_rank(entries, zones)
        row = f"{size_bytes:,} | {took_s * 1000:.2f} | {rank_s * 1000:.4f}"
        print(f"| {entries} | {zones} | {row} |")


def _entry(index: int, zones: int = 1) -> Member:
    host = f"10.1.{index // 250}.{index % 250}"
    return Member(
        id=f"front-zone-{index}",
        incarnation="019abcdef01212345678",
        role=MemberRole.ENTRY,
        peer_address=f"{host}:8000",
        caller_address=f"{host}:8005",
        news_address=f"{host}:7700",
        zone=f"zone-{index % zones}",
        region="region",
        is_ready=True,
        beat=index + 1,
    )


if __name__ == "__main__":
    main()
