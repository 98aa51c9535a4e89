"""One faulty runner sends a body without end in small chunks; requests to sound runners wait."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

TIMEOUT_MS = 1000
# Longer than the route's timeout, so that an answer half a second after it is still seen.
LIMIT_MS = 2500
AFTER_TIMEOUT_S = 0.5
PORTAL_TIMEOUT_MS = 3000
SECONDS = 20
CHUNK = "1\r\nx\r\n"
# 100 Mbit/s; the links of the entries have 1,000 in cal-daisy.
BYTES_PER_S = 12_500_000


def run(site, trouble):
    site.start_store()
    sound = [site.start_runner(f"ledger-{i}", 30 + i) for i in range(2)]
    portal = site.start_runner(
        "portal-1", 40, endless=CHUNK if trouble else "", bytes_per_s=BYTES_PER_S
    )
    routes = [
        route("read", "safe", "ledger", TIMEOUT_MS),
        route("portal", "unsafe", "portal", PORTAL_TIMEOUT_MS),
    ]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, [service("ledger"), service("portal")], tenants))
    for index, address in enumerate(sound):
        site.write(f"servers/ledger-{index}", runner_entry("ledger", address))
    site.write("servers/portal-1", runner_entry("portal", portal, slots=8))
    site.start_entries()
    time.sleep(4.0)  # the entries are in touch
    results, threads = [], []

    def send(kind, number, entry):
        request_id = f"{kind}-{number}"
        path, method = (f"/read/{number}", "GET") if kind == "read" else ("/portal/p", "POST")
        limit_ms = LIMIT_MS if kind == "read" else PORTAL_TIMEOUT_MS
        sent_s = time.monotonic()
        status, _, _ = site.request(entry, method, path, request_id, limit_ms)
        took_s = time.monotonic() - sent_s
        answer = f"status {status}" if status else "no answer"
        site.note(f"{request_id} at entry-{entry}: {answer} after {took_s:.3f} s")
        results.append((kind, status, took_s))

    for tick in range(SECONDS * 5):
        plan = [("read", tick, tick % site.entry_count)]
        if tick % 5 == 0:
            plan += [("portal", tick * 10 + entry, entry) for entry in range(site.entry_count)]
        for arguments in plan:
            threads.append(threading.Thread(target=send, args=arguments))
            threads[-1].start()
        time.sleep(0.2)
    for thread in threads:
        thread.join()
    reads = [(status, took_s) for kind, status, took_s in results if kind == "read"]
    waiting = [r for r in reads if r[1] > TIMEOUT_MS / 1000]
    late = [r for r in waiting if r[0] == 0 or r[1] > TIMEOUT_MS / 1000 + AFTER_TIMEOUT_S]
    served = sum(1 for status, _ in reads if status == 200)
    site.note(
        f"of {len(reads)} requests to the sound runners {served} were served, {len(waiting)} had no"
        f" answer at {TIMEOUT_MS} ms, {len(late)} of these none {AFTER_TIMEOUT_S} s later"
    )
    return len(waiting) >= 8 and len(late) * 2 > len(waiting)


main(run)
