"""Roll out two versions on loopback under live requests and check the system's guarantees."""

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
# With faults these upstreams are reached through relays that stall connections.
RELAYED_MODEL = 3
RELAYED_LEDGER = 1


@define
class RolloutResult:
    """Times and sent bytes of one rollout; reached_s maps a replica count to its time."""

    version: str
    revision: int
    size_bytes: int
    reached_s: dict[int, float] = field(factory=dict)
    origin_bytes: int = 0
    region_bytes: dict[str, int] = field(factory=dict)
    max_sent_bytes: int = 0

    def format_copies(self, byte_count: int) -> str:
        """Return a byte count in copies of the weights."""
        if byte_count < 0:
            return "unknown, its agent was replaced"
        return f"{byte_count / self.size_bytes:.2f}"


def report(text: str) -> None:
    """Print a line of progress or results and flush it."""
    print(text, flush=True)


def source_bytes(site: Site) -> int:
    """Return the bytes that the store and the origin have sent."""
    answers = (site.get(site.layout.address(port), "/counters") for port in (STORE, ORIGIN))
    return sum(answer["sent_bytes"] for answer in answers if answer)


def link_bytes(site: Site) -> tuple[dict[str, int], dict[str, int]]:
    """Return the chunk bytes sent over each region pair and by each instance."""
    pairs: dict[str, int] = {}
    instances: dict[str, int] = {}
    for index in range(site.layout.agents):
        status = site.status(index)
        if status is None:
            continue
        instances[status["instance_id"]] = status["chunk_bytes_sent"]
        region = site.layout.zone_of(index).rpartition("-")[0]
        for peer_region, sent_bytes in status["region_bytes_sent"].items():
            pair = f"{region}>{peer_region}"
            pairs[pair] = pairs.get(pair, 0) + sent_bytes
    return pairs, instances


def roll_out(site: Site, version: str, timeout_s: float) -> RolloutResult:
    """Publish a version and wait until all replicas serve it or timeout_s has passed."""
    count = site.layout.agents
    before_origin = source_bytes(site)
    before_pairs, before_instances = link_bytes(site)
    started_s = time.monotonic()
    result = RolloutResult(version, site.publish(version), site.versions[0].size_bytes)
    report(f"version {version} published as revision {result.revision}")
    last_serving = -1
    while len(result.reached_s) < count and time.monotonic() - started_s < timeout_s:
        serving = site.count_serving(version)
        for replicas in range(1, serving + 1):
            result.reached_s.setdefault(replicas, time.monotonic() - started_s)
        if serving != last_serving:
            report(f"  {time.monotonic() - started_s:5.1f} s  {serving} of {count} serve {version}")
            last_serving = serving
        time.sleep(POLL_S)
    after_pairs, after_instances = link_bytes(site)
    result.origin_bytes = source_bytes(site) - before_origin
    result.region_bytes = {
        pair: sent - before_pairs.get(pair, 0) for pair, sent in sorted(after_pairs.items())
    }
    sent = [bytes - before_instances.get(id, 0) for id, bytes in after_instances.items()]
    result.max_sent_bytes = max(sent, default=0)
    return result


def count_runs(site: Site) -> dict[str, int]:
    """Return how often each action ran, summed over all ledgers."""
    runs: dict[str, int] = {}
    for index in range(site.layout.agents, site.layout.agents + site.layout.ledgers):
        answer = site.get(site.layout.agent_addresses(index)[2], "/runs")
        for action, count in (answer or {"runs": {}})["runs"].items():
            runs[action] = runs.get(action, 0) + count
    return runs


def print_rollout(result: RolloutResult, count: int) -> None:
    """Print the table of one rollout."""
    reached = result.reached_s
    times = [reached.get(n) for n in (1, (count + 1) // 2, count)]
    shown = " / ".join(f"{t:.1f}" if t is not None else "never" for t in times)
    report(f"version {result.version}: s to 1 / half / all replicas     {shown}")
    report(f"  origin bytes, in copies                 {result.format_copies(result.origin_bytes)}")
    for pair, sent_bytes in result.region_bytes.items():
        report(f"  bytes {pair:<12} in copies           {result.format_copies(sent_bytes)}")
    report(
        f"  most loaded machine sent, in copies     {result.format_copies(result.max_sent_bytes)}"
    )


def print_requests(callers: Callers, runs: dict[str, int]) -> int:
    """Print the table of requests and return the number of violated guarantees."""
    tally, posts = callers.tally, callers.post_verdicts
    ran_twice = sum(1 for count in runs.values() if count > 1)
    ran_after_not_run = sum(1 for a, v in posts.items() if v == "not_run" and runs.get(a))
    lost = sum(1 for a, v in posts.items() if v == "ran" and not runs.get(a))
    ran_once = sum(1 for a in posts if runs.get(a) == 1)
    unknown = sum(1 for v in posts.values() if v == "may_have_run")
    failed = tally.sent - tally.complete
    report(f"streams sent / whole / failed             {tally.sent} / {tally.complete} / {failed}")
    report(f"  failed as not_run / may_have_run        {tally.not_run} / {tally.may_have_run}")
    report(f"  mixed or wrong version, another's       {tally.mixed}, {tally.foreign}")
    report(f"non-repeatable sent / once / unknown      {len(posts)} / {ran_once} / {unknown}")
    report(f"  run twice                               {ran_twice}")
    report(f"  called not run but ran, ran but lost    {ran_after_not_run}, {lost}")
    return tally.mixed + tally.foreign + ran_twice + ran_after_not_run + lost


def free_base_port() -> int:
    """Return a base port above which the next ports are likely free."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return 10_000 + probe.getsockname()[1] % 20 * 1000


def main(
    size_bytes: Annotated[int, typer.Option(help="Size of each version in bytes")] = 8_000_000,
    chunk_bytes: Annotated[int, typer.Option(help="Size of a chunk in bytes")] = 125_000,
    zones: Annotated[int, typer.Option(help="Number of zones, each in its own region, 1 to 4")] = 3,
    agents: Annotated[int, typer.Option(help="Number of model upstreams")] = 6,
    entries: Annotated[int, typer.Option(help="Number of entry instances")] = 2,
    instance_bytes_per_s: Annotated[float, typer.Option(help="Instance link rate")] = 4_000_000.0,
    pair_bytes_per_s: Annotated[float, typer.Option(help="Region pair rate")] = 1_375_000.0,
    origin_bytes_per_s: Annotated[float, typer.Option(help="Origin and store rate")] = 8_000_000.0,
    shared_part: Annotated[float, typer.Option(help="Share of common chunks")] = 0.0,
    seed: Annotated[int, typer.Option(help="Seed of the weights and the callers")] = 1,
    faults: Annotated[bool, typer.Option(help="Inject faults during the rollout")] = False,
    timeout_s: Annotated[float, typer.Option(help="Timeout of a rollout in seconds")] = 30.0,
    binary: Annotated[str, typer.Option(help="Path of a built binary to run")] = "",
) -> None:
    """Run the demo and exit with status 1 when a guarantee was violated."""
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
        violations = run(site, seed, faults, timeout_s)
    finally:
        processes.kill_all()
    report("no promise was broken" if not violations else f"{violations} PROMISES BROKEN")
    raise typer.Exit(1 if violations else 0)


def run(site: Site, seed: int, faults: bool, timeout_s: float) -> int:
    """Run both rollouts, the second under load, and return the number of violated guarantees."""
    report(f"starting {site.layout.agents} engines and their agents, {site.layout.entries} entries")
    site.start_platform()
    site.wait_for("platform", lambda: site.get(site.layout.address(0), "/counters"))
    site.start_daemons()
    first = roll_out(site, "a", timeout_s)
    addresses = [site.layout.entry_addresses(i)[0] for i in range(site.layout.entries)]
    callers = Callers(addresses, seed=seed)
    site.wait_for("entries", lambda: all(site.get(a, "/readyz") for a in addresses))
    report("live requests begin")
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
    report("")
    for result in (first, second):
        print_rollout(result, site.layout.agents)
    violations = print_requests(callers, count_runs(site))
    return violations + sum(site.layout.agents not in r.reached_s for r in (first, second))


if __name__ == "__main__":
    typer.run(main)
