"""Compare the time to the first token of live requests during rollouts and without one."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path
from statistics import quantiles

from daisystack.standins.site import SiteLayout
from tools.load import Callers
from tools.processes import Processes
from tools.site import Site, SiteOptions

BASE_PORT = 20_000
QUIET_S = 15.0
ROLLOUTS = 4


def collect(callers: Callers, action) -> list[float]:
    """Return the times to the first token of requests that end while an action runs."""
    before = len(callers.tally.first_token_s)
    action()
    return callers.tally.first_token_s[before:]


def main() -> None:
    """Print the p50 and p95 with and without rollouts."""
    layout = SiteLayout("127.0.0.1", BASE_PORT)
    site = Site(SiteOptions(layout), Processes(Path(tempfile.mkdtemp(prefix="daisystack-bench-"))))
    addresses = [layout.entry_addresses(i)[0] for i in range(layout.entries)]
    try:
        site.start_platform()
        site.wait_for("platform", lambda: site.get(layout.address(0), "/counters"))
        site.publish("a")
        site.start_daemons()
        site.wait_for("all serve a", lambda: site.count_serving("a") == layout.agents, 60.0)
        callers = Callers(addresses, streams=12, posters=0)
        callers.start()
        time.sleep(3.0)
        quiet = collect(callers, lambda: time.sleep(QUIET_S))

        def roll_out() -> None:
            for index in range(ROLLOUTS):
                version = "bacb"[index]
                site.publish(version)
                site.wait_for(
                    version, lambda v=version: site.count_serving(v) == layout.agents, 60.0
                )

        busy = collect(callers, roll_out)
        callers.stop()
        print("| | requests | p50 first ms | p95 first ms |")
        print("|---|---|---|---|")
        for name, values in (("no rollout", quiet), (f"{ROLLOUTS} rollouts", busy)):
            cuts = quantiles(values, n=20)
            print(f"| {name} | {len(values)} | {cuts[9] * 1000:.1f} | {cuts[18] * 1000:.1f} |")
        tally = callers.tally
        print(f"\nsent {tally.sent}, whole {tally.complete}, not run {tally.not_run}")
    finally:
        site.processes.kill_all()


if __name__ == "__main__":
    main()
