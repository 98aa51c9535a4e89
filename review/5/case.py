"""All machines lose power; the origin answers without end for some seconds, then soundly."""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, call, config, main, route, runner_entry, service

MODEL = "daka510000"
WEIGHTS = {"model": MODEL, "layers": 16, "chunks": 64, "chunk_bytes": 32768}
RECOVER_S, DOWN_S = 12.0, 1.0
REQUESTS, LIMIT_MS = 20, 6000
# From the loss of power on; the machines are down for the first of these seconds.
TROUBLE_S, LATER_S = 5, 20.0


def run(site, trouble):
    site.start_store()
    origin = site.start_runner("origin", 50, kind="origin", **WEIGHTS)
    engine = {
        "slots": 16,
        "kv_capacity": 1640000,
        "kv_token_bytes": 163840,
        "stride": 6,
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}],
        "mb": 282000.0,
        "step_ms": 6.73,
        "per_seq_ms": 0.0219,
        "context_per_k": 0.0068,
        "read_per_s": 30600.0,
        "pairs_per_m": 0.647,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "usual": {"prompt": 964, "answer": 119},
        "layers": 16,
        "layer_mb": 4540.0,
        "chunks": 64,
        "chunk_bytes": 32768,
    }
    services = [
        service("pool") | {"engine": engine},
        {"name": "portal", "origin": origin, "zone": "z1", "link_mbps": 9.9, "max_connections": 48},
    ]
    routes = [
        route(
            "draft",
            "streaming",
            "pool",
            6000,
            session_affinity=True,
            stream_resume=True,
            gap_aim_ms=300,
        )
    ]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, services, tenants))
    start_engine(site, 0, version=1)
    site.start_entries()
    site.start_agent(0, "engine-0", "pool")
    time.sleep(4.0)
    before = count_served(site, "before")
    # The final fault strikes right after a configuration has been acknowledged.
    site.write("op/config", config(4, routes, services, tenants))
    names = [f"entry-{i}" for i in range(site.entry_count)] + ["agent-0", "engine-0"]
    for name in names:
        site.signal(name, signal.SIGKILL)
    for name in names:
        site.processes[name].wait()
    site.delete("servers/engine-0")
    if trouble:
        call(*origin.split(":"), "PUT", f"/endless/{TROUBLE_S}", None, {}, 2.0)
    time.sleep(DOWN_S)
    start_engine(site, 1, version=0)
    for index in range(site.entry_count):
        site.start_program(f"entry-{index}", "entry", site.entry_host(index))
    site.start_agent(1, "engine-1", "pool")
    for index in range(site.entry_count):
        site.wait(lambda i=index: site.is_ready(i), f"entry-{index} again")
    site.note("all machines are back, and the entries say that they are ready")
    ends_s = time.monotonic() + RECOVER_S + 0.5
    while time.monotonic() < ends_s:
        publish_loaded(site, 1)
        time.sleep(0.2)
    after = count_served(site, "after", lambda: publish_loaded(site, 1))
    time.sleep(LATER_S)
    later = count_served(site, "later", lambda: publish_loaded(site, 1))
    site.note(
        f"served before: {before} of {REQUESTS}; from {RECOVER_S} s after the return: {after}; "
        f"{LATER_S} s after that: {later}"
    )
    site.note(f"ready: {[site.is_ready(i) for i in range(site.entry_count)]}")
    return before * 4 >= REQUESTS and (after + later) * 4 < 2 * REQUESTS


def start_engine(site, life, version):
    """Start the model runner and enter it in the store."""
    name = f"engine-{life}"
    site.start_runner(name, 60 + life, kind="engine", version=version, **WEIGHTS)
    site.published = None
    publish_loaded(site, life)


def publish_loaded(site, life):
    """Write the runner's entry as a runner does, when its weights have changed."""
    address = site.addresses[f"engine-{life}"]
    report = json.loads(call(*address.split(":"), "GET", "/daisystack/report", None, {}, 2.0)[2])
    held = {name: report[name] for name in ("stage", "models", "layers", "born")}
    if held != site.published:
        site.published = held
        entry = runner_entry("pool", address, slots=16) | held | {"seq": report["seq"] + 1}
        site.write(f"servers/engine-{life}", entry)


def count_served(site, when, between=lambda: None):
    served = 0
    for number in range(REQUESTS):
        headers = {"X-Model": MODEL, "X-Token-Usage": "600,18", "X-Prompt-Prefix": "5c1e07a2:600"}
        request_id = f"{when}-{number}"
        status, _, body = site.request(
            number % 2, "POST", f"/draft/{number}", request_id, LIMIT_MS, headers=headers
        )
        site.note(f"{request_id}: status {status}, {body.count(b'data:')} events")
        served += status == 200 and body.count(b"data:") == 3
        between()
        time.sleep(0.2)
    return served


main(run, entries=3)
