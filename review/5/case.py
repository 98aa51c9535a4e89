"""The operator takes the last tenant away; requests with its key must not run any more."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

REVOKE_S = 5.0
LIMIT_MS = 1500


def run(site, trouble):
    site.start_store()
    address = site.start_runner("ledger-0", 30)
    routes = [route("post", "unsafe", "ledger", 1500)]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, [service("ledger")], tenants))
    site.write("servers/ledger-0", runner_entry("ledger", address))
    site.start_entries()
    time.sleep(4.0)

    def send(request_id, entry):
        status, _, _ = site.request(entry, "POST", f"/post/{request_id}", request_id, LIMIT_MS)
        site.note(f"{request_id} with the key of dealers at entry-{entry}: status {status}")

    for number in range(6):
        send(f"before-{number}", number % 2)
    # Either way the new configuration holds no key; without the disruption, the tenant stays.
    left = [] if trouble else [{"name": "dealers", "api_keys": [], "priority": 1}]
    acked_s = site.write("op/config", config(4, routes, [service("ledger")], left))
    time.sleep(acked_s + REVOKE_S + 1.0 - time.monotonic())
    for number in range(20):
        send(f"after-{number}", number % 2)
        time.sleep(0.2)
    ran = [entry for entry in site.runs() if entry["event"] == "runs"]
    late = [entry["id"] for entry in ran if entry["id"].startswith("after-")]
    site.note(f"{len(late)} of 20 requests sent {REVOKE_S + 1.0} s or more after the ack have run")
    return bool(late)


main(run)
