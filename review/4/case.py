"""Runners crash one at a time; reads that were running on them are refused from then on."""

import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

RUNNERS, CRASHES = 6, 10
DOWN_S, LIST_LAG_S, BETWEEN_S = 4.5, 3.6, 5.5
SETTLED_S, STEADY_S = 6.0, 15.0
TIMEOUT_MS = 1500
WORK_S = 0.4
# No page gets more than a quarter of the reads.
PAGES = ("gdansk", "gdynia", "sopot", "tczew")
READ_EVERY_S, POST_EVERY_S = 0.025, 0.1


def run(site, trouble):
    site.start_store()
    for number in range(RUNNERS):
        start_runner(site, number, 1)
    first = route("post", "unsafe", "ledger", TIMEOUT_MS)
    later = route("tally", "safe", "ledger", TIMEOUT_MS, public=True)
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, [first], [service("ledger")], tenants))
    site.start_entries()
    time.sleep(4.0)
    site.write("op/config", config(4, [first, later], [service("ledger")], tenants))
    time.sleep(4.0)
    results, running = [], True

    def send(kind, number):
        page = PAGES[number % len(PAGES)]
        method, path = ("GET", f"/tally/{page}") if kind == "tally" else ("POST", f"/post/{number}")
        key = None if kind == "tally" else KEY
        sent_s = time.monotonic()
        entry = number // len(PAGES) % site.entry_count
        status, _, _ = site.request(entry, method, path, f"{kind}-{number}", TIMEOUT_MS, key=key)
        results.append((sent_s, kind, status))

    def generate(kind, every_s):
        number, due_s = 0, time.monotonic()
        while running:
            threading.Thread(target=send, args=(kind, number), daemon=True).start()
            number, due_s = number + 1, due_s + every_s
            time.sleep(max(0.0, due_s - time.monotonic()))

    for arguments in (("tally", READ_EVERY_S), ("post", POST_EVERY_S)):
        threading.Thread(target=generate, args=arguments, daemon=True).start()
    time.sleep(4.0)
    for crash in range(CRASHES):
        if trouble:
            number, life = crash % RUNNERS, crash // RUNNERS + 1
            site.signal(f"runner-{number}-{life}", signal.SIGKILL)
            time.sleep(LIST_LAG_S)
            site.delete(f"servers/runner-{number}-{life}")
            time.sleep(DOWN_S - LIST_LAG_S)
            start_runner(site, number, life + 1)
        time.sleep(BETWEEN_S - (DOWN_S if trouble else 0.0))
    time.sleep(SETTLED_S)
    steady_s = time.monotonic()
    site.note("steady state: all runners have been back for seconds")
    time.sleep(STEADY_S)
    running = False
    time.sleep(TIMEOUT_MS / 1000 + 0.5)
    served = {}
    for kind in ("post", "tally"):
        statuses = Counter(s for at_s, k, s in results if k == kind and at_s >= steady_s)
        before = Counter(s for at_s, k, s in results if k == kind and at_s < steady_s)
        served[kind] = statuses[200] / max(1, statuses.total())
        site.note(
            f"{kind}: before {dict(before)}; in steady state {dict(statuses)}, "
            f"{served[kind]:.2f} of them served"
        )
    return served["tally"] < 0.25 * served["post"]


def start_runner(site, number, life):
    name = f"runner-{number}-{life}"
    address = site.start_runner(name, 30 + 10 * life + number, pause_s=WORK_S)
    site.write(f"servers/{name}", runner_entry("ledger", address))


main(run, entries=3)
