"""An entry of another writer lies in the store when all processes are killed and start again."""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

RECOVER_S = 12.0
DOWN_S = 1.0
REQUESTS = 20
LIMIT_MS = 1500


def run(site, trouble):
    site.start_store()
    addresses = [site.start_runner(f"i-7f3a91c{n}", 30 + n) for n in range(3)]
    routes = [route("post", "unsafe", "ledger", LIMIT_MS), route("read", "safe", "ledger", LIMIT_MS)]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, [service("ledger")], tenants))
    for number, address in enumerate(addresses):
        site.write(f"servers/i-7f3a91c{number}", runner_entry("ledger", address))
    site.start_entries()
    time.sleep(4.0)
    before = count_served(site, "before")
    if trouble:
        # A number that no machine number holds; it names no runner to use.
        entry = runner_entry("ledger", f"{site.prefix}99:8080")
        text = json.dumps(entry | {"cold_left_ms": "NUMBER"}).replace('"NUMBER"', "9" * 400)
        site.write("servers/a-0000", text.encode())
        time.sleep(1.0)
    for index in range(site.entry_count):
        site.signal(f"entry-{index}", signal.SIGKILL)
        site.processes[f"entry-{index}"].wait()
    time.sleep(DOWN_S)
    for index in range(site.entry_count):
        site.start_program(f"entry-{index}", "entry", site.entry_host(index))
    for index in range(site.entry_count):
        site.wait(lambda i=index: site.is_ready(i), f"entry-{index} again")
    site.note("all entries are back and ready")
    time.sleep(RECOVER_S + 0.5)
    after = count_served(site, "after")
    site.note(f"served before: {before} of {REQUESTS}; {RECOVER_S} s after the return: {after}")
    return before * 4 >= REQUESTS and after * 4 < REQUESTS


def count_served(site, when):
    served = 0
    for number in range(REQUESTS):
        method, name = ("POST", "post") if number % 2 else ("GET", "read")
        request_id = f"{when}-{number}"
        status, _, body = site.request(
            number // 2 % 2, method, f"/{name}/{request_id}", request_id, LIMIT_MS
        )
        site.note(f"{request_id}: status {status}")
        served += status == 200
        time.sleep(0.1)
    return served


main(run)
