"""A machine freezes while its agent verifies what is staged; a piece that turned bad is loaded."""

import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from deployment import KEY, CannotRun, call, config, main, route, runner_entry, service

MODEL = "daka510000"
WEIGHTS = {"model": MODEL, "layers": 16, "chunks": 64, "chunk_bytes": 32768}
FREEZE_S = 3.5
# New versions, each with a freeze; one that ends while the agent waits for an answer makes the agent
# look at all pieces again, and does no harm.
VERSIONS = 4
# A piece that turned bad in the last 3 s before it was taken is excused.
EXCUSED_S = 3.0
# The processes of a machine that wakes run again one after the other.
WAKE_GAP_S = 0.2
FROZEN_AT_PIECE, ROTTEN_PIECE = 16, 3


def run(site, trouble):
    site.start_store()
    origin = site.start_runner("origin", 50, kind="origin", **WEIGHTS)
    address = site.start_runner("engine-0", 60, kind="engine", version=1, local_s=0.0,
                                **WEIGHTS)
    engine = {
        "slots": 16, "kv_capacity": 1640000, "kv_token_bytes": 163840, "stride": 6,
        "models": [{"name": MODEL, "pace": 1.0, "load_s": 4.0, "warm_s": 0.3}], "mb": 282000.0,
        "step_ms": 6.73, "per_seq_ms": 0.0219, "context_per_k": 0.0068, "read_per_s": 30600.0,
        "pairs_per_m": 0.647, "chunk": 2048, "report_lag_ms": 200.0,
        "usual": {"prompt": 964, "answer": 119}, "layers": 16, "layer_mb": 4540.0,
        "chunks": 64, "chunk_bytes": 32768,
    }
    services = [
        service("pool") | {"engine": engine},
        {"name": "portal", "origin": origin, "zone": "z1", "link_mbps": 9.9, "max_connections": 48},
    ]
    routes = [route("draft", "streaming", "pool", 6000, session_affinity=True, stream_resume=True,
                    gap_aim_ms=300)]
    tenants = [{"name": "dealers", "api_keys": [KEY], "priority": 1}]
    site.write("op/config", config(1, routes, services, tenants))
    held = {"stage": "both", "models": [{"name": MODEL, "version": 1, "adapters": []}]}
    held |= {"layers": [{"from": 0, "to": 16, "version": 1}]}
    born = json.loads(call(*address.split(":"), "GET", "/daisystack/report", None, {}, 2.0)[2])["born"]
    site.write("servers/engine-0", runner_entry("pool", address, slots=16, born=born, **held))
    site.start_entries()
    site.start_agent(0, "engine-0", "pool")
    time.sleep(4.0)

    def draft(number):
        headers = {"X-Model": MODEL, "X-Token-Usage": "600,18", "X-Prompt-Prefix": "5c1e07a2:600"}
        status, _, body = site.request(
            number % 2, "POST", "/draft/1", f"draft-{number}", 6000, headers=headers
        )
        site.note(f"draft-{number}: status {status}, {body[:40]}")

    draft(0)
    for version in range(2, 2 + VERSIONS):
        site.write(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        if trouble:
            freeze_while_verifying(site, address)
        ends_s = time.monotonic() + 20.0
        while not find(site, "has loaded", version) and time.monotonic() < ends_s:
            time.sleep(0.05)
        held["models"][0]["version"] = held["layers"][0]["version"] = version
        entry = runner_entry("pool", address, slots=16, born=born, **held)
        site.write("servers/engine-0", entry | {"seq": version})
        time.sleep(0.7)
        for number in range(4):
            draft(10 * version + number)
        made = find(site, "makes tokens", version)
        if not made:
            raise CannotRun(f"no token was made with version {version}")
        order = find(site, "accepts an order", version)[-1]
        long_bad = [s for s in order["bad_for_s"].values() if s > EXCUSED_S]
        spoilt = [e["id"] for e in made if e["spoilt_pieces"]]
        site.note(f"version {version}: made with a spoilt piece: {spoilt}; it had been bad for so "
                  f"many seconds when it was taken: {long_bad}")
        if spoilt and long_bad:
            return True
    return False


def find(site, event, version):
    return [e for e in site.runs() if e["event"] == event and e.get("version") == version]


def freeze_while_verifying(site, address):
    """Freeze the machine in the agent's last look at the pieces before the order."""
    ends_s = time.monotonic() + 40.0
    while True:
        reads = reads_since_last_put(site.record_path.read_text().splitlines())
        # The first look follows the last piece, the second one comes just before the order.
        if reads.count(FROZEN_AT_PIECE) == 2:
            break
        if time.monotonic() > ends_s:
            raise CannotRun("the agent did not verify the pieces twice")
        time.sleep(0.002)
    # The whole machine stands still: the agent and its engine.
    site.signal("agent-0", signal.SIGSTOP)
    call(*address.split(":"), "PUT", f"/rot/{ROTTEN_PIECE}", None, {}, 2.0)
    site.signal("engine-0", signal.SIGSTOP)
    time.sleep(FREEZE_S - WAKE_GAP_S)
    site.signal("engine-0", signal.SIGCONT)
    time.sleep(WAKE_GAP_S)
    site.signal("agent-0", signal.SIGCONT)


def reads_since_last_put(lines):
    reads = []
    for line in lines:
        if '"staged"' in line:
            reads = []
        elif '"read"' in line:
            reads.append(json.loads(line)["index"])
    return reads


main(run)
