"""In a drill the store comes back from an older copy; an entry that starts then takes that copy."""

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, config, main, route, runner_entry, service

REVOKE_S = 5.0
LIMIT_MS = 1500
# The three seeds.
KILLED = (0, 1, 2)
OTHER_KEY = "key-of-the-lenders"
# Seconds after the ack of the configuration that takes the key away.
COPIED_S, AWAY_S, KILLED_S, BACK_S, WRITTEN_AGAIN_S, ENDS_S = -0.3, 3.0, 3.6, 4.0, 5.9, 9.0


def run(site, trouble):
    site.start_store()
    address = site.start_runner("ledger-0", 30)
    routes = [route("post", "unsafe", "ledger", 1500)]
    lenders = {"name": "lenders", "api_keys": [OTHER_KEY], "priority": 1}
    dealers = {"name": "dealers", "api_keys": [KEY], "priority": 1}
    site.write("op/config", config(1, routes, [service("ledger")], [dealers, lenders]))
    site.write("servers/ledger-0", runner_entry("ledger", address))
    site.start_entries()
    time.sleep(4.0)
    site.drill("copy")
    time.sleep(-COPIED_S)
    without_key = config(4, routes, [service("ledger")], [dealers | {"api_keys": []}, lenders])
    acked_s = site.write("op/config", without_key)
    results, threads = [], []

    def wait_until(after_s):
        time.sleep(max(0.0, acked_s + after_s - time.monotonic()))

    def send(entry, number, key):
        name = "revoked" if key == KEY else "good"
        request_id = f"{name}-{entry}-{number}"
        after_s = time.monotonic() - acked_s
        status, _, _ = site.request(
            entry, "POST", f"/post/{number}", request_id, LIMIT_MS, key=key
        )
        site.note(f"{request_id}, sent {after_s:.3f} s after the ack: status {status}")
        results.append((request_id, after_s, status))

    def generate():
        number = 0
        while time.monotonic() < acked_s + ENDS_S:
            for entry in range(site.entry_count):
                key = KEY if number % 4 else OTHER_KEY
                threads.append(threading.Thread(target=send, args=(entry, number, key)))
                threads[-1].start()
            number += 1
            time.sleep(0.1)

    generator = threading.Thread(target=generate)
    generator.start()
    wait_until(AWAY_S)
    if trouble:
        site.drill("away")
    wait_until(KILLED_S)
    for index in KILLED:
        site.signal(f"entry-{index}", signal.SIGKILL)
    for index in KILLED:
        site.processes[f"entry-{index}"].wait()
    wait_until(BACK_S)
    if trouble:
        site.drill("back")
    # The platform starts them again after a short delay.
    time.sleep(0.1)
    for index in KILLED:
        site.start_program(
            f"entry-{index}", "entry", site.entry_host(index), {"bootstrap": "false"}
        )
    if trouble:
        wait_until(WRITTEN_AGAIN_S)
        site.write("op/config", without_key)
    generator.join()
    for thread in threads:
        thread.join()
    ran = {entry["id"] for entry in site.runs() if entry["event"] == "runs"}
    late = [i for i, after_s, _ in results if i.startswith("revoked") and after_s > REVOKE_S]
    broken = [request_id for request_id in late if request_id in ran]
    site.note(f"of {len(late)} requests sent with the key over {REVOKE_S} s after the ack ran: {broken}")
    return bool(broken)


main(run, entries=6)
