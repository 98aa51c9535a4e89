"""Measure the latency that an entry and an agent add, and the load of one entry on one core."""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from pathlib import Path
from statistics import quantiles

from attrs import frozen

from daisystack.standins.site import SiteLayout
from tools.processes import Processes
from tools.site import Site, SiteOptions

BASE_PORT = 20_000
ENGINES = 6
DURATION_S = 12
LOADS = ((28, 34, 0.031), (28, 271, 0.031))
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@frozen
class Measurement:
    """Result of one run; the cores are CPU seconds per second, the agent core per agent."""

    p50_s: float
    p95_s: float
    events_per_s: float
    requests_per_s: float
    failed: int
    entry_core: float
    agent_core: float


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def run_clients(
    site: Site, targets: list[tuple[str, str]], rate: float, tokens: int, token_s: float
) -> Measurement:
    """Run one client process per target and merge their results."""
    log_dir = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    clients = Processes(log_dir, (sys.executable, "-m", "benchmarks.stream_client"))
    names = {"entry": ["e1"], "agent": [f"m{i + 1}" for i in range(ENGINES)]}
    pids = {r: [site.processes.by_name[n].popen.pid for n in ns] for r, ns in names.items()}
    cpu_before_s = {role: sum(map(cpu_s, role_pids)) for role, role_pids in pids.items()}
    started_s = time.monotonic()
    for index, (address, path) in enumerate(targets):
        share = rate / len(targets)
        client_arguments = (str(share), str(DURATION_S), str(tokens), str(token_s))
        clients.start(f"client{index}", address, path, *client_arguments)
    for process in clients.by_name.values():
        process.wait(DURATION_S * 6)
    took_s = time.monotonic() - started_s
    cpu_used_s = {
        role: sum(map(cpu_s, role_pids)) - cpu_before_s[role] for role, role_pids in pids.items()
    }
    results = [
        json.loads(process.log_path.read_text().splitlines()[-1])
        for process in clients.by_name.values()
    ]
    first_s = [value for result in results for value in result["first_s"]]
    cuts = quantiles(first_s, n=20)
    return Measurement(
        cuts[9],
        cuts[18],
        sum(r["events"] / r["took_s"] for r in results),
        len(first_s) / took_s,
        sum(r["failed"] for r in results),
        cpu_used_s["entry"] / took_s,
        cpu_used_s["agent"] / took_s / ENGINES,
    )


def main() -> None:
    """Print the table of direct calls and of calls through the entry."""
    layout = SiteLayout("127.0.0.1", BASE_PORT, ("mtl",), 1, ENGINES, 0)
    options = SiteOptions(
        layout,
        1_000_000,
        50_000,
        50e6,
        load_s=0.1,
        engine_capacity=400,
        agent_flags=("--capacity=400",),
    )
    site = Site(options, Processes(Path(tempfile.mkdtemp(prefix="daisystack-bench-"))))
    engines = [layout.agent_addresses(i)[2] for i in range(ENGINES)]
    try:
        site.start_platform()
        site.wait_for("platform", lambda: site.get(layout.address(0), "/counters"))
        site.publish("a")
        site.start_daemons()
        site.wait_for("engines", lambda: site.count_serving("a") == ENGINES, 60.0)
        time.sleep(3.0)
        direct = [(address, "/generate") for address in engines]
        entry = [(layout.entry_addresses(0)[0], "/v1/models/assistant/generate")] * 2
        print(
            "| way | requests/s | tokens a request | p50 first ms | p95 first ms | tokens/s "
            "| failed | entry core | agent core |"
        )
        print("|---|---|---|---|---|---|---|---|---|")
        for rate, tokens, token_s in LOADS:
            for way, targets in (("direct", direct), ("through", entry)):
                result = run_clients(site, targets, rate, tokens, token_s)
                print(
                    f"| {way} | {rate} | {tokens} | {result.p50_s * 1000:.1f} "
                    f"| {result.p95_s * 1000:.1f} | {result.events_per_s:.0f} | {result.failed} "
                    f"| {result.entry_core:.2f} | {result.agent_core:.2f} |",
                    flush=True,
                )
    finally:
        site.processes.kill_all()


if __name__ == "__main__":
    main()
