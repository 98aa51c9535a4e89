"""Measure the processor time of an entry and an agent by cause: started, idle and under load."""

from __future__ import annotations

import json
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from attrs import define, field

from benchmarks.startup import compile_sources, used_ms
from daisystack.tests.on_platform.site import PlatformSite, interpreter_flags
from tools.processes import Process, Processes

__all__ = ["main"]

ENTRIES = 4
AGENTS = 2
# Away from the addresses of the sites of tests.
FIRST_HOST = 120
PHASE_S = 15.0
REQUESTS_PER_S = 20.0
PRINT_WAIT_S = 0.5


@define
class Usage:
    """What one process used in a phase."""

    took_s: float
    used_ms: float
    wakeups: int
    samples: Counter[str] = field(factory=Counter)


@define(eq=False)
class Meter:
    """Measure one process from one reading to the next."""

    process: Process
    # Of the first reading only the used time counts.
    read_s: float = 0.0
    used_ms: float = 0.0
    wakeups: int = 0

    def read(self) -> Usage:
        """Return what the process used since the last reading."""
        pid = self.process.popen.pid
        now_s, used, wakeups = time.monotonic(), used_ms(pid), _wakeups(pid)
        usage = Usage(now_s - self.read_s, used - self.used_ms, wakeups - self.wakeups)
        self.read_s, self.used_ms, self.wakeups = now_s, used, wakeups
        self.process.signal(signal.SIGUSR2)
        time.sleep(PRINT_WAIT_S)
        lines = self.process.log_path.read_text().splitlines()
        last = [line for line in lines if line.startswith("samples ")][-1]
        usage.samples.update(json.loads(last.removeprefix("samples ")))
        return usage


def call_for(site: PlatformSite, duration_s: float) -> int:
    """Send streams to all entries in turn at REQUESTS_PER_S; return how many were answered."""
    started_s = time.monotonic()
    sent = answered = 0
    while time.monotonic() - started_s < duration_s:
        answered += site.call(sent % site.entries, "POST", "/draft/1").status == 200
        sent += 1
        time.sleep(max(0.0, started_s + sent / REQUESTS_PER_S - time.monotonic()))
    return answered


def print_phase(phase: str, role: str, usages: list[Usage]) -> None:
    """Print the rows of a phase and a role, as means over its processes."""
    samples = sum((usage.samples for usage in usages), Counter())
    total = max(1, samples.total())
    ms_per_s = sum(u.used_ms / u.took_s for u in usages) / len(usages)
    used = sum(u.used_ms for u in usages) / len(usages)
    wakeups = sum(u.wakeups / u.took_s for u in usages) / len(usages)
    print(f"| {phase} | {role} | all | {used:.0f} | {ms_per_s:.2f} | {wakeups:.1f} |")
    for cause, count in samples.most_common():
        share = count / total
        print(f"| {phase} | {role} | {cause} | {used * share:.0f} | {ms_per_s * share:.2f} | |")


def main() -> None:
    """Print the table, one row per phase, role and cause."""
    compile_sources()
    folder = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    site = PlatformSite(folder, entries=ENTRIES, models=AGENTS, first_host=FIRST_HOST)
    command = (sys.executable, *interpreter_flags(), "-m", "benchmarks.sampled")
    site.processes = Processes(folder, command)
    print("| phase | role | cause | ms | ms/s | wake-ups/s |\n|---|---|---|---|---|---|")
    try:
        site.start()
        names = [n for n in site.processes.by_name if n.startswith(("entry", "agent"))]
        meters = {name: Meter(site.processes.by_name[name]) for name in names}
        for phase in ("start", "idle", "load"):
            if phase == "load":
                print(f"{call_for(site, PHASE_S)} streams answered", file=sys.stderr)
            elif phase == "idle":
                time.sleep(PHASE_S)
            usages = {name: meter.read() for name, meter in meters.items()}
            for role in ("entry", "agent"):
                of_role = [usage for name, usage in usages.items() if name.startswith(role)]
                print_phase(phase, role, of_role)
    finally:
        site.stop()


def _wakeups(pid: int) -> int:
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    return int(next(line for line in lines if line.startswith("voluntary_ctxt")).split()[1])


if __name__ == "__main__":
    main()
