"""Run the main job on loopback: two versions rolled out under live requests, with a verdict."""

from __future__ import annotations

import socket
import sys
import tempfile
import time
from pathlib import Path
from typing import Annotated

import typer
from attrs import define, field

from daisystack.standins.site import ORIGIN, STORE, SiteLayout
from tools.faults import FaultScript
from tools.load import Callers
from tools.processes import Processes
from tools.site import Site, SiteOptions

__all__ = ["main"]

REGIONS = ("mtl", "qc", "sag", "gat")
POLL_S = 0.05
SETTLE_S = 1.0
# With faults these upstreams stand behind relays that lose track of connections.
RELAYED_MODEL = 3
RELAYED_LEDGER = 1


@define
class Rollout:
    """Hold the measures of one rollout."""

    version: str
    revision: int
    size_bytes: int
    reached_s: dict[int, float] = field(factory=dict)
    origin_bytes: int = 0
    region_bytes: dict[str, int] = field(factory=dict)
    machine_bytes: int = 0

    def copies(self, count_bytes: int) -> str:
        """Return bytes as copies of the weights."""
        if count_bytes < 0:
            return "not known, its agent was replaced"
        return f"{count_bytes / self.size_bytes:.2f}"


def say(text: str) -> None:
    """Print progress at once."""
    print(text, flush=True)


def source_bytes(site: Site) -> int:
    """Return what the store and the origin have sent."""
    answers = (site.get(site.layout.address(port), "/counters") for port in (STORE, ORIGIN))
    return sum(answer["sent_bytes"] for answer in answers if answer)


def link_bytes(site: Site) -> tuple[dict[str, int], dict[str, int]]:
    """Return the chunk bytes sent over each region pair and by each instance."""
    pairs: dict[str, int] = {}
    machines: dict[str, int] = {}
    for index in range(site.layout.agents):
        status = site.status(index)
        if status is None:
            continue
        machines[status["instance_id"]] = status["chunk_bytes_sent"]
        here = site.layout.zone_of(index).rpartition("-")[0]
        for there, sent_bytes in status["region_bytes_sent"].items():
            pair = f"{here}>{there}"
            pairs[pair] = pairs.get(pair, 0) + sent_bytes
    return pairs, machines


def roll_out(site: Site, version: str, timeout_s: float) -> Rollout:
    """Publish a version and wait until all replicas serve it."""
    count = site.layout.agents
    before_origin = source_bytes(site)
    before_pairs, before_machines = link_bytes(site)
    begun_s = time.monotonic()
    rollout = Rollout(version, site.publish(version), site.versions[0].size_bytes)
    say(f"version {version} published as revision {rollout.revision}")
    shown = -1
    while len(rollout.reached_s) < count and time.monotonic() - begun_s < timeout_s:
        serving = site.count_serving(version)
        for replicas in range(1, serving + 1):
            rollout.reached_s.setdefault(replicas, time.monotonic() - begun_s)
        if serving != shown:
            say(f"  {time.monotonic() - begun_s:5.1f} s  {serving} of {count} serve {version}")
            shown = serving
        time.sleep(POLL_S)
    after_pairs, after_machines = link_bytes(site)
    rollout.origin_bytes = source_bytes(site) - before_origin
    rollout.region_bytes = {
        pair: sent - before_pairs.get(pair, 0) for pair, sent in sorted(after_pairs.items())
    }
    sent = [bytes - before_machines.get(id, 0) for id, bytes in after_machines.items()]
    rollout.machine_bytes = max(sent, default=0)
    return rollout


def count_runs(site: Site) -> dict[str, int]:
    """Return how often each action ran over all ledgers."""
    runs: dict[str, int] = {}
    for index in range(site.layout.agents, site.layout.agents + site.layout.ledgers):
        answer = site.get(site.layout.agent_addresses(index)[2], "/runs")
        for action, count in (answer or {"runs": {}})["runs"].items():
            runs[action] = runs.get(action, 0) + count
    return runs


def show_rollout(rollout: Rollout, count: int) -> None:
    """Print the table of one rollout."""
    reached = rollout.reached_s
    times = [reached.get(n) for n in (1, (count + 1) // 2, count)]
    shown = " / ".join(f"{t:.1f}" if t is not None else "never" for t in times)
    say(f"version {rollout.version}: s to 1 / half / all replicas     {shown}")
    say(f"  origin bytes, in copies                 {rollout.copies(rollout.origin_bytes)}")
    for pair, sent_bytes in rollout.region_bytes.items():
        say(f"  bytes {pair:<12} in copies           {rollout.copies(sent_bytes)}")
    say(f"  most loaded machine sent, in copies     {rollout.copies(rollout.machine_bytes)}")


def show_requests(callers: Callers, runs: dict[str, int]) -> int:
    """Print the table of requests and return the number of broken promises."""
    tally, posts = callers.tally, callers.post_verdicts
    twice = sum(1 for count in runs.values() if count > 1)
    ran_despite = sum(1 for a, v in posts.items() if v == "not_run" and runs.get(a))
    lost = sum(1 for a, v in posts.items() if v == "ran" and not runs.get(a))
    once = sum(1 for a in posts if runs.get(a) == 1)
    unknown = sum(1 for v in posts.values() if v == "may_have_run")
    failed = tally.sent - tally.complete
    say(f"streams sent / whole / failed             {tally.sent} / {tally.complete} / {failed}")
    say(f"  failed as not_run / may_have_run        {tally.not_run} / {tally.may_have_run}")
    say(f"  mixed or wrong version, another's       {tally.mixed}, {tally.foreign}")
    say(f"non-repeatable sent / once / unknown      {len(posts)} / {once} / {unknown}")
    say(f"  run twice                               {twice}")
    say(f"  called not run but ran, ran but lost    {ran_despite}, {lost}")
    return tally.mixed + tally.foreign + twice + ran_despite + lost


def free_base_port() -> int:
    """Return a base port whose neighbourhood is likely free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return 10_000 + probe.getsockname()[1] % 20 * 1000


def main(
    size_bytes: Annotated[int, typer.Option(help="Size of each version")] = 8_000_000,
    chunk_bytes: Annotated[int, typer.Option(help="Size of a chunk")] = 125_000,
    zones: Annotated[int, typer.Option(help="Zones, each in its region, 1 to 4")] = 3,
    agents: Annotated[int, typer.Option(help="Model upstreams")] = 6,
    entries: Annotated[int, typer.Option(help="Entry instances")] = 2,
    instance_bytes_per_s: Annotated[float, typer.Option(help="Machine link")] = 4_000_000.0,
    pair_bytes_per_s: Annotated[float, typer.Option(help="Region pair link")] = 1_375_000.0,
    origin_bytes_per_s: Annotated[float, typer.Option(help="Origin link")] = 8_000_000.0,
    shared_part: Annotated[float, typer.Option(help="Chunks that versions share")] = 0.0,
    seed: Annotated[int, typer.Option(help="Seed of weights and callers")] = 1,
    faults: Annotated[bool, typer.Option(help="Inject faults during the rollout")] = False,
    timeout_s: Annotated[float, typer.Option(help="Longest rollout")] = 30.0,
    binary: Annotated[str, typer.Option(help="Path of a built binary")] = "",
) -> None:
    """Run the demo and exit 1 when a promise was broken."""
    if not 1 <= zones <= len(REGIONS):
        raise typer.BadParameter(f"got {zones} zones, allowed are 1 to {len(REGIONS)}")
    layout = SiteLayout(
        "127.0.0.1",
        free_base_port(),
        REGIONS[:zones],
        entries,
        agents,
        instance_bytes_per_s=instance_bytes_per_s,
        region_pair_bytes_per_s=pair_bytes_per_s,
        relayed=(RELAYED_MODEL, agents + RELAYED_LEDGER) if faults else (),
    )
    options = SiteOptions(
        layout, size_bytes, chunk_bytes, origin_bytes_per_s, seed, shared_part=shared_part
    )
    command = (sys.executable, binary) if binary else (sys.executable, "-m", "daisystack")
    processes = Processes(Path(tempfile.mkdtemp(prefix="daisystack-demo-")), command)
    site = Site(options, processes)
    try:
        broken = run(site, seed, faults, timeout_s)
    finally:
        processes.kill_all()
    say("no promise was broken" if not broken else f"{broken} PROMISES BROKEN")
    raise typer.Exit(1 if broken else 0)


def run(site: Site, seed: int, faults: bool, timeout_s: float) -> int:
    """Run both rollouts under load and return the number of broken promises."""
    say(f"starting {site.layout.agents} engines and their agents, {site.layout.entries} entries")
    site.start_platform()
    site.wait_for("platform", lambda: site.get(site.layout.address(0), "/counters"))
    site.start_daemons()
    first = roll_out(site, "a", timeout_s)
    addresses = [site.layout.entry_addresses(i)[0] for i in range(site.layout.entries)]
    callers = Callers(addresses, seed=seed)
    site.wait_for("entries", lambda: all(site.get(a, "/readyz") for a in addresses))
    say("live requests begin")
    callers.start()
    time.sleep(SETTLE_S)
    script = FaultScript(site) if faults else None
    if script is not None:
        script.start()
    second = roll_out(site, "b", timeout_s)
    if script is not None:
        script.join()
    time.sleep(SETTLE_S)
    callers.stop()
    say("")
    for rollout in (first, second):
        show_rollout(rollout, site.layout.agents)
    broken = show_requests(callers, count_runs(site))
    return broken + sum(site.layout.agents not in r.reached_s for r in (first, second))


if __name__ == "__main__":
    typer.run(main)
