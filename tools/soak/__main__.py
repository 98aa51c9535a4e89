"""Run one soak: print its seed, play its faults, check the promises and keep a failed run's logs.

Exits with 1 if a promise was broken, with 2 if the site did not start, with 3 on SIGTERM.
"""

from __future__ import annotations

import os
import shutil
import signal
import sys
import tempfile
import time
import warnings
from pathlib import Path
from typing import Annotated

os.environ.setdefault("EVENTLET_NO_GREENDNS", "yes")
warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet

eventlet.monkey_patch()

import typer

from daisystack.tests.on_platform.soak_site import SoakSite
from tools.soak.callers import Callers
from tools.soak.checks import RECOVERY_S, Evidence, find_breaches
from tools.soak.faults import Injector
from tools.soak.plan import Fault, draw_faults
from tools.soak.records import MACHINE, Disruption, History, read_upstream_events, write_requests

WARM_UP_S = 1.0
MEASURED_S = 3.0
# Requests that callers had left may still begin for this long.
SETTLE_S = 1.0
WATCH_INTERVAL_S = 0.05
MIN_STALL_S = 0.4
STOPPED_STATUS = 3
MAX_PRINTED_BREACHES = 40


def play(site: SoakSite, seed: int, seconds: float, callers: int) -> tuple[History, Injector]:
    """Play the faults of a seed and then planned work alone, and return what happened."""
    history = History()
    injector = Injector(site, history, seed)
    injector.record_start()
    watch = eventlet.spawn(watch_machine, history)
    load = Callers(site, history, seed, callers)
    load.start()
    time.sleep(WARM_UP_S)
    injector.play(draw_faults(seed, seconds, site.entries, site.upstream_names(), site.models))
    history.calm_from_s = time.monotonic()
    time.sleep(RECOVERY_S + MEASURED_S)
    history.planned_from_s = time.monotonic()
    print(f"  {history.planned_from_s:.2f} planned work only", flush=True)
    injector.play(draw_planned_work(seed, site))
    load.stop()
    time.sleep(SETTLE_S)
    watch.kill()
    return history, injector


def watch_machine(history: History) -> None:
    """Record each time at which this process, and likely the others, got no processor time."""
    while True:
        expected_s = time.monotonic() + WATCH_INTERVAL_S
        time.sleep(WATCH_INTERVAL_S)
        now_s = time.monotonic()
        if now_s - expected_s > MIN_STALL_S:
            history.disruptions.append(Disruption(MACHINE, "stall", expected_s, now_s))


def draw_planned_work(seed: int, site: SoakSite) -> list[Fault]:
    """Return a stop of an entry beside a leaving upstream, configurations and versions."""
    names = site.upstream_names()
    return [
        Fault(0.0, "terminate", f"entry-{seed % site.entries}", 0.0),
        Fault(0.3, "leave", names[seed % len(names)], 0.5),
        Fault(0.5, "configs", "operator", 0.0),
    ]


def judge(site: SoakSite, history: History) -> list[str]:
    """Print and return the breaches, and print how long the machine stalled."""
    evidence = Evidence(history, read_upstream_events(site.record_path), site.bounds)
    breaches = find_breaches(evidence)
    for breach in breaches[:MAX_PRINTED_BREACHES]:
        print(f"BROKEN {breach}", flush=True)
    stalls_s = history.stalls_s()
    if stalls_s:
        print(f"machine stalled {len(stalls_s)} times, up to {max(stalls_s):.2f} s", flush=True)
    return breaches


def main(
    seed: Annotated[int, typer.Option(help="Seed of faults and requests.")],
    seconds: Annotated[float, typer.Option(help="Time with faults, without calm times.")] = 10.0,
    entries: Annotated[int, typer.Option(help="Number of entries.")] = 3,
    engines: Annotated[int, typer.Option(help="Number of engines with their agents.")] = 3,
    callers: Annotated[int, typer.Option(help="Number of callers.")] = 16,
    logs: Annotated[Path, typer.Option(help="Directory for logs of a failed run.")] = Path(
        "build/soak"
    ),
    keep: Annotated[bool, typer.Option(help="Keep the logs of a sound run, too.")] = False,
    program: Annotated[str, typer.Option(help="Script that runs an entry or an agent.")] = (
        "platform/serve.py"
    ),
) -> None:
    """Run the programs under the faults of a seed and check the promises."""
    print(f"seed {seed}", flush=True)
    # Ends the programs of the site as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(STOPPED_STATUS))
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    site = SoakSite(folder, entries=entries, models=engines, program=program)
    try:
        site.start()
        history, injector = play(site, seed, seconds, callers)
    except TimeoutError as error:
        print(f"the site did not start: {error}; logs in {folder}", flush=True)
        raise SystemExit(2) from error
    finally:
        site.stop()
    breaches = judge(site, history)
    if breaches or keep:
        write_requests(history, folder / "requests.jsonl")
        target = logs / f"seed-{seed}"
        shutil.rmtree(target, ignore_errors=True)
        shutil.copytree(folder, target)
        print(f"logs kept in {target}", flush=True)
    shutil.rmtree(folder)
    served = sum(record.is_served for record in history.requests)
    print(
        f"seed {seed}: {sum(injector.counts.values())} faults, {len(history.requests)} requests, "
        f"{served} served, {len(breaches)} broken",
        flush=True,
    )
    sys.exit(1 if breaches else 0)


if __name__ == "__main__":
    typer.run(main)
