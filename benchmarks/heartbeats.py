"""Measure what heartbeats cost an entry, by its number of neighbors."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from benchmarks.entry_load import cpu_s
from benchmarks.slopes import Slope
from daisystack.standins.site import SiteLayout
from tools.processes import Processes
from tools.site import Site, SiteOptions

SIZES = (3, 6, 12, 24)
DURATION_S = 20.0
SETTLE_S = 5.0


def run(neighbor_count: int, base_port: int) -> tuple[float, float, float]:
    """Return an entry's CPU seconds per second, heartbeats per second and resident bytes."""
    layout = SiteLayout("127.0.0.1", base_port, ("mtl",), 1, neighbor_count, 0)
    log_dir = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    site = Site(SiteOptions(layout, 100_000, 50_000), Processes(log_dir))
    peers = Processes(log_dir, (sys.executable, "-m", "benchmarks.fake_peers"))
    try:
        site.processes.start("platform", "standins", "platform", f"--base-port={base_port}")
        peers.start("peers", str(base_port + 400), str(neighbor_count))
        site.wait_for("platform", lambda: site.get(layout.address(0), "/counters"))
        site.publish("a")
        site.start_entry(0)
        address = layout.entry_addresses(0)[0]
        site.wait_for("entry", lambda: site.get(address, "/readyz"))
        time.sleep(SETTLE_S)
        pid = site.processes.by_name["e1"].popen.pid
        before_s, before = cpu_s(pid), site.get(address, "/v1/status")["heartbeats_sent"]
        time.sleep(DURATION_S)
        core = (cpu_s(pid) - before_s) / DURATION_S
        sent = (site.get(address, "/v1/status")["heartbeats_sent"] - before) / DURATION_S
        pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
        return core, sent, pages * 4096.0
    finally:
        site.processes.kill_all()
        peers.kill_all()


def main() -> None:
    """Print linear fits of CPU time, heartbeats and memory by the number of neighbors."""
    runs = [run(size, 21_000 + 1000 * index) for index, size in enumerate(SIZES)]
    print("| what | points | slope | at 0 |")
    print("|---|---|---|---|")
    for index, (name, unit) in enumerate(
        (("entry, core", "core/peer"), ("heartbeats/s", "1/s/peer"), ("resident B", "B/peer"))
    ):
        print(Slope(name, unit, SIZES, tuple(result[index] for result in runs)))


if __name__ == "__main__":
    main()
