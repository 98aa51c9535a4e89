"""Measure the time until every process has accepted a published revision."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import attrs

from benchmarks.slopes import Slope
from daisystack.standins.site import CONFIG, SiteLayout
from tools.processes import Processes
from tools.site import Site, SiteOptions

SIZES = (6, 12, 24, 48)
PUBLICATION_COUNT = 6
PAUSE_S = 3.0
CONNECT_TIMEOUT_S = 90.0


def run(agents: int, base_port: int) -> tuple[float, float]:
    """Return the largest delay of acceptance over all processes, and the service's calls per s."""
    layout = SiteLayout("127.0.0.1", base_port, agents=agents, ledgers=0)
    log_dir = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    site = Site(attrs.evolve(SiteOptions(layout), size_bytes=100_000), Processes(log_dir))
    addresses = [layout.entry_addresses(i)[0] for i in range(layout.entries)]
    addresses += [layout.agent_addresses(i)[0] for i in range(agents)]
    config = layout.address(CONFIG)
    try:
        site.processes.start("platform", "standins", "platform", f"--base-port={base_port}")
        site.wait_for("platform", lambda: site.get(config, "/counters"))
        first_revision = site.publish("a")
        site.start_daemons()
        site.wait_for(
            "all on the first revision",
            lambda: _current_revisions(site, addresses) == {first_revision},
            CONNECT_TIMEOUT_S,
        )
        time.sleep(PAUSE_S)
        calls, started_s = site.get(config, "/counters")["calls"], time.time()
        published_s = {}
        for _ in range(PUBLICATION_COUNT):
            at_s = time.time()
            published_s[site.publish("a")] = at_s
            time.sleep(PAUSE_S)
        calls_per_s = (site.get(config, "/counters")["calls"] - calls) / (time.time() - started_s)
        max_delay_s = 0.0
        for address in addresses:
            for event in site.get(address, "/v1/audit")["events"]:
                if event["what"] == "config_accepted" and event["revision"] in published_s:
                    max_delay_s = max(max_delay_s, event["when_s"] - published_s[event["revision"]])
        if _current_revisions(site, addresses) != {max(published_s)}:
            max_delay_s = float("inf")
        return max_delay_s, calls_per_s
    finally:
        site.processes.kill_all()


def _current_revisions(site: Site, addresses: list[str]) -> set[int | None]:
    statuses = [site.get(address, "/v1/status") for address in addresses]
    return {status["revision"] if status else None for status in statuses}


def main(sizes: list[int]) -> None:
    """Run each size and print a linear fit of both measures."""
    runs = [run(size, 21_000 + 1000 * index) for index, size in enumerate(sizes)]
    print("| what | points | slope | at 0 |")
    print("|---|---|---|---|")
    for index, name in enumerate(("slowest into force, s", "service calls/s")):
        values = tuple(result[index] for result in runs)
        print(Slope(name, "per process", tuple(sizes), values))


if __name__ == "__main__":
    main([int(text) for text in sys.argv[1:]] or list(SIZES))
