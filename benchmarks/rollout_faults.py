"""Compare the time and origin bytes of rollouts under faults with a rollout without faults."""

from __future__ import annotations

import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

from attrs import frozen

from daisystack.standins.site import STORE, SiteLayout
from tools.demo import source_bytes
from tools.load import Callers
from tools.processes import Processes
from tools.site import Site, SiteOptions

FAULT_AT_S = 0.8
FREEZE_S = 6.0
TIMEOUT_S = 90.0
FIRST_PORT = 20_000


@frozen
class Case:
    """A fault and the function that injects it; killed upstreams needn't serve the version."""

    name: str
    inject: Callable[[Site], None]
    killed: tuple[int, ...] = ()
    version: str = "b"


def set_store_faults(site: Site, **faults: object) -> None:
    """Set faults of the store's stand-in."""
    site.set_faults(site.layout.address(STORE), **faults)


def build_freeze_fault(name: str) -> Callable[[Site], None]:
    """Return a fault that suspends a process for FREEZE_S seconds."""

    def inject(site: Site) -> None:
        site.processes.freeze(name)
        time.sleep(FREEZE_S)
        site.processes.thaw(name)

    return inject


def restart(site: Site) -> None:
    """Replace an agent with a new process that holds no chunks."""
    site.processes.kill("m1")
    site.start_agent(0)


def two_faults(site: Site) -> None:
    """Take the store down and kill a fetcher."""
    set_store_faults(site, is_down=True)
    site.processes.kill("m2")


CASES = (
    Case("none", lambda site: None),
    Case("fetcher in the origin's region killed", lambda site: site.processes.kill("m1"), (0,)),
    Case("fetcher in a far region killed", lambda site: site.processes.kill("m2"), (1,)),
    Case(f"fetcher frozen for {FREEZE_S:.0f} s", build_freeze_fault("m1")),
    Case("fetcher restarted with nothing", restart),
    Case("store down, origin up", lambda site: set_store_faults(site, is_down=True)),
    Case(
        "three chunks corrupted, two cut",
        lambda s: set_store_faults(s, corrupt_next=3, truncate_next=2),
    ),
    Case("replaced in flight by c", lambda site: site.publish("c"), version="c"),
    Case("rolled back in flight to a", lambda site: site.publish("a"), version="a"),
    Case("store down and a far fetcher killed", two_faults, (1,)),
)


def run(case: Case, base_port: int) -> tuple[float, float, Callers]:
    """Return the time until all live agents serve the version, origin copies, and the callers."""
    layout = SiteLayout("127.0.0.1", base_port, ledgers=0)
    log_dir = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    site = Site(SiteOptions(layout), Processes(log_dir))
    try:
        site.start_platform()
        site.wait_for("platform", lambda: site.get(layout.address(0), "/counters"))
        site.publish("a")
        site.start_daemons()
        site.wait_for("all serve a", lambda: site.count_serving("a") == layout.agents, TIMEOUT_S)
        time.sleep(1.0)
        callers = Callers([layout.entry_addresses(i)[0] for i in range(layout.entries)], posters=0)
        callers.start()
        before = source_bytes(site)
        started_s = time.monotonic()
        site.publish("b")
        time.sleep(FAULT_AT_S)
        fault = threading.Thread(target=case.inject, args=(site,))
        fault.start()
        fault.join(0.5)
        expected_serving = layout.agents - len(case.killed)
        site.wait_for(
            case.name, lambda: site.count_serving(case.version) == expected_serving, TIMEOUT_S
        )
        took_s = time.monotonic() - started_s
        fault.join()
        callers.stop()
        copies = (source_bytes(site) - before) / site.versions[0].size_bytes
        return took_s, copies, callers
    finally:
        site.processes.kill_all()


def main() -> None:
    """Print the table, one row per case."""
    print(
        "| fault after 0.8 s | all live agents serve it after, s | over fault-free "
        "| origin copies | streams sent / whole / mixed |"
    )
    print("|---|---|---|---|---|")
    baseline_s = 0.0
    for index, case in enumerate(CASES):
        took_s, copies, callers = run(case, FIRST_PORT + 1000 * index)
        baseline_s = baseline_s or took_s
        tally = callers.tally
        print(
            f"| {case.name} | {took_s:.1f} | {took_s / baseline_s:.2f} | {copies:.2f} "
            f"| {tally.sent} / {tally.complete} / {tally.mixed} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
