"""Half of the entries restart as a runner's entry is removed; undisturbed ones go on sending to it."""

import random
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, accepts, call, config, main, route, runner_entry, service

DRAIN_S = 2.0
LIMIT_MS = 1500
ENTRIES = 8
# Half of the entries, the seeds among them; the others run undisturbed all the while.
KILLED = range(ENTRIES // 2)
ROUNDS = 4
RUNNERS = ROUNDS + 3
# All requests together, as for disburse in cal-daisy.
REQUESTS_PER_S = 7.45
# A runner that leaves goes on serving after its entry was removed, and says in its answers that it
# leaves.
SERVES_ON_S = 10.0
DOWN_S = 0.5


def run(site, trouble):
    site.start_store()
    routes = [route("post", "unsafe", "ledger", LIMIT_MS)]
    dealers = {"name": "dealers", "api_keys": [KEY], "priority": 1}
    site.write("op/config", config(1, routes, [service("ledger")], [dealers]))
    for number in range(RUNNERS):
        name = f"ledger-{number}"
        address = site.start_runner(name, 30 + number)
        site.write(f"servers/{name}", runner_entry("ledger", address))
    site.start_entries()
    time.sleep(4.0)
    running, removed = True, {}

    def send(entry, number):
        request_id = f"post-{entry}-{number}"
        site.request(entry, "POST", f"/post/{number}", request_id, LIMIT_MS)

    def generate():
        number = 0
        while running:
            entry = random.randrange(site.entry_count)
            threading.Thread(target=send, args=(entry, number), daemon=True).start()
            number += 1
            time.sleep(random.expovariate(REQUESTS_PER_S))

    generator = threading.Thread(target=generate)
    generator.start()
    for number in range(ROUNDS):
        if trouble:
            kill_and_start(site)
        name = f"ledger-{number}"
        call(*site.addresses[name].split(":"), "POST", "/leave", None, {}, 2.0)
        site.delete(f"servers/{name}")
        removed[name] = time.monotonic()
        time.sleep(SERVES_ON_S)
        site.signal(name, signal.SIGTERM)
        time.sleep(2.0)
    running = False
    generator.join()
    time.sleep(LIMIT_MS / 1000)
    late = Counter()
    for line in site.runs():
        if line["event"] != "runs" or line["runner"] not in removed:
            continue
        entry = int(line["id"].split("-")[1])
        if entry not in KILLED and line["at_s"] - removed[line["runner"]] > DRAIN_S:
            late[line["runner"], entry] += 1
    for (runner, entry), count in sorted(late.items()):
        site.note(
            f"reached {runner} from entry-{entry}, which was never disturbed, over {DRAIN_S} s after "
            f"the store had acknowledged its removal: {count}"
        )
    site.note(f"requests that reached a runner too late: {late.total()}")
    return bool(late)


def kill_and_start(site):
    """Kill entries at the same moment and start them again; return when the first one listens."""
    for index in KILLED:
        site.signal(f"entry-{index}", signal.SIGKILL)
    for index in KILLED:
        site.processes[f"entry-{index}"].wait()
    time.sleep(DOWN_S)
    for index in KILLED:
        changes = {"bootstrap": "false"}
        site.start_program(f"entry-{index}", "entry", site.entry_host(index), changes)
    port = site.ports["control"]
    ends_s = time.monotonic() + 20.0
    while not any(accepts(site.entry_host(index), port) for index in KILLED):
        if time.monotonic() > ends_s:
            raise RuntimeError("the entries did not come back")
        time.sleep(0.005)


main(run, entries=ENTRIES)
