"""A runner answers a long request early and without a length, and is reset midway."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

REQUESTS = 10
LIMIT_MS = 3000
# Under max_body_bytes, and more than the sockets' buffers hold.
BODY = b"x" * 4_000_000


def run(site, trouble):
    site.start_store()
    address = site.start_runner("ledger-0", 30, early=True, breaks=trouble)
    routes = [route("post", "unsafe", "ledger", LIMIT_MS)]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, [service("ledger")], tenants))
    site.write("servers/ledger-0", runner_entry("ledger", address))
    site.start_entries()
    time.sleep(4.0)
    mixed = []
    for number in range(REQUESTS):
        request_id = f"post-{number}"
        status, headers, body = site.request(
            number % 2, "POST", f"/post/{number}", request_id, LIMIT_MS, body=BODY, timeout_s=5.0
        )
        whole = "".join(f"line {n} of 100 for {request_id}\n" for n in range(1, 101)).encode()
        framing = {
            k: v for k, v in headers.items() if k.lower() in ("content-length", "transfer-encoding")
        }
        site.note(f"{request_id}: status {status}, {framing}, {body.count(b'line')} of 100 lines")
        if status == 200 and body != whole:
            mixed.append(request_id)
        time.sleep(0.2)
    site.note(f"successes that look complete without the runner's whole body: {mixed}")
    return bool(mixed)


main(run)
