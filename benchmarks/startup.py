"""Measure the processor time that each role of the platform uses until it listens.

The speed of a core changes between runs, so times are also given in runs of a reference loop,
measured before and after each start.
"""

from __future__ import annotations

import compileall
import socket
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from daisystack.tests.on_platform.site import PlatformSite

__all__ = ["main"]

RUNS = 15
# Addresses above those of the sites of tests.
ENTRY_INDEX = 60
AGENT_INDEX = 61
TIMEOUT_S = 20.0
POLL_S = 0.002
NS_PER_MS = 1_000_000
MS_PER_S = 1000
REFERENCE_STEPS = 300_000
SOURCES = ("daisystack", "platform")


def compile_sources() -> None:
    """Compile the sources to bytecode, as the build of a deployment does."""
    for folder in SOURCES:
        compileall.compile_dir(folder, quiet=1)


def used_ms(pid: int) -> float:
    """Return the processor milliseconds that the main thread of a process has used."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / NS_PER_MS


def reference_ms() -> float:
    """Return the processor milliseconds of the reference loop."""
    started_s = time.process_time()
    table = {}
    for step in range(REFERENCE_STEPS):
        table[step & 1023] = str(step)
    return (time.process_time() - started_s) * MS_PER_S


def measure(role: str) -> float:
    """Start a role without a reachable platform; return what it used until it listened, in ms."""
    index = ENTRY_INDEX if role == "entry" else AGENT_INDEX
    name = f"{role}-{index}"
    folder = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    site = PlatformSite(folder, offline=frozenset({name}))
    try:
        site.start_role(role, index)
        pid = site.processes.by_name[name].popen.pid
        deadline_s = time.monotonic() + TIMEOUT_S
        while not _is_listening(site.metrics_host(index)):
            if time.monotonic() > deadline_s:
                raise TimeoutError(f"{name} does not listen after {TIMEOUT_S} s, see {folder}")
            time.sleep(POLL_S)
        return used_ms(pid)
    finally:
        site.stop()


def main() -> None:
    """Print the table, one row per role; the number of runs may be given."""
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else RUNS
    compile_sources()
    print("| role | runs | least ms | median ms | median in reference loops |")
    print("|---|---|---|---|---|")
    for role in ("entry", "agent"):
        used, loops = [], []
        for _ in range(runs):
            before_ms = reference_ms()
            used.append(measure(role))
            loops.append(2 * used[-1] / (before_ms + reference_ms()))
        row = f"{min(used):.0f} | {median(used):.0f} | {median(loops):.2f}"
        print(f"| {role} | {runs} | {row} |", flush=True)


def _is_listening(address: tuple[str, int]) -> bool:
    with socket.socket() as probe:
        return probe.connect_ex(address) == 0


if __name__ == "__main__":
    main()
