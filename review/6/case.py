"""The only tenant is taken out of the configuration, and its key with it."""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib-2"))

from standins import (  # noqa: E402
    Channel,
    CouldNotRun,
    PlainRunner,
    build_config,
    has_trouble,
    run_case,
)

KEY, NEVER_HELD = "key-of-the-dealers", "key-that-no-configuration-held"
ENTRIES = (2, 3)
REVOKE_S = 5.0
# Sent this much later than the bound allows.
MARGIN_S = 1.5


def case(site):
    runner = PlainRunner(site, "i-ledger-1", "ledger", site.host(4), 0.02)
    site.store.put("op/config", build_config(1, [{"name": "dealers", "api_keys": [KEY]}]))
    for number in ENTRIES:
        site.start("entry", number)
    site.wait_for("entries ready", lambda: all(site.is_ready(n) for n in ENTRIES))

    def send(name, key):
        for number in ENTRIES:
            Channel(site, site.callers(number)).send(f"{name}-{number}", "/post/pay", key)

    send("before-held", KEY)
    send("before-unknown", NEVER_HELD)
    if not {f"before-held-{n}" for n in ENTRIES} <= runner.ran():
        raise CouldNotRun("a request with the key did not run while it was held")
    if any(f"before-unknown-{n}" in runner.ran() for n in ENTRIES):
        raise CouldNotRun("a request with an unknown key ran before the change")

    tenants = [] if has_trouble() else [{"name": "dealers", "api_keys": [KEY]}]
    site.store.put("op/config", build_config(2, tenants))
    site.record.write(f"ack      configuration 2, tenants {tenants}")
    time.sleep(REVOKE_S + MARGIN_S)
    send("after-held", KEY)
    send("after-unknown", NEVER_HELD)

    ran = {request_id: tenant for _, request_id, tenant in runner.runs}
    broken = []
    for number in ENTRIES:
        held, unknown = f"after-held-{number}", f"after-unknown-{number}"
        if has_trouble() and held in ran:
            broken.append(
                f"CONFIG: {held} was sent {REVOKE_S + MARGIN_S} s after the ack of the "
                f"configuration that took its key away, and ran for tenant {ran[held]}"
            )
        if unknown in ran:
            broken.append(f"ROUTE: {unknown} ran, and no configuration ever held its key")
    return broken


run_case(__file__, case)
