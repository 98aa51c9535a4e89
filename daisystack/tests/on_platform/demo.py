"""Run the platform on loopback: all kinds of requests, a new version, a kill and a stop."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

from attrs import define, field

from daisystack.tests.on_platform.site import PlatformSite

__all__ = ["main"]

VERSION_SWITCH_S = 8.0
# The platform polls readiness once a second.
NOT_READY_TIMEOUT_S = 1.0


@define
class CheckTable:
    """Print one line for each check and count those that failed."""

    failed: int = 0
    started_s: float = field(factory=time.monotonic)

    def check(self, description: str, actual: object, expected: object) -> None:
        """Print the actual value, and the expected one if it differs."""
        is_good = actual == expected
        self.failed += not is_good
        verdict = "ok" if is_good else f"FAILED, expected {expected}"
        print(
            f"{time.monotonic() - self.started_s:6.2f} s  {description:50} {actual}  {verdict}",
            flush=True,
        )


def run_checks(site: PlatformSite, table: CheckTable) -> None:
    """Run all checks in order."""
    table.check("entries listed by the directory", len(site.addresses(0)), site.entries)
    for description, method, path, key, status in (
        ("stream with an API key", "POST", "/draft/1", "key-of-the-dealers", 200),
        ("unsafe request with an API key", "POST", "/post/1", "key-of-the-dealers", 200),
        ("safe request without a key on a public route", "GET", "/read/1", None, 200),
        ("request with an unknown key", "POST", "/post/1", "another", 401),
        ("path without a route", "GET", "/other", None, 404),
    ):
        table.check(description, site.call(0, method, path, key).status, status)
    stream = site.call(1, "POST", "/draft/2")
    table.check("events of a stream", stream.body.count(b"data:"), 5)
    load_time_s = site.wait_for(lambda: site.engine_version(1) == 1)
    table.check(f"version of the empty engine ({load_time_s:.1f} s)", site.engine_version(1), 1)
    site.publish("op/version/m1", {"model": "m1", "version": 2})
    time.sleep(VERSION_SWITCH_S)
    answers = [site.call(n % site.entries, "POST", "/draft/4") for n in range(4)]
    old_answer_count = sum(b"of version 1" in answer.body for answer in answers)
    table.check(f"answers of version 1 after {VERSION_SWITCH_S:.0f} s", old_answer_count, 0)
    site.wait_for(lambda: all(site.engine_version(i) == 2 for i in range(site.models)))
    table.check(
        "both engines serve version 2", site.engine_version(0) == site.engine_version(1), True
    )
    site.processes.kill("entry-0")
    site.wait_for(lambda: site.addresses(1) == [site.caller_address(1)])
    table.check("status after an entry was killed", site.call(1, "POST", "/draft/3").status, 200)
    site.start_entry(0)
    site.wait_for(lambda: len(site.addresses(1)) == site.entries)
    site.processes.terminate("entry-1")
    table.check("status from a stopping entry", site.call(1, "POST", "/post/2").status, 200)
    site.wait_for(lambda: not site.is_ready(1), NOT_READY_TIMEOUT_S)
    table.check("stopping entry is ready", site.is_ready(1), False)
    status = site.processes.by_name["entry-1"].wait()
    table.check("exit status of the stopped entry", status, 0)


def main() -> int:
    """Run the demo; return 1 if a check failed."""
    table = CheckTable()
    with tempfile.TemporaryDirectory() as folder:
        site = PlatformSite(Path(folder))
        try:
            site.start()
            run_checks(site, table)
        finally:
            site.stop()
    print("all checks passed" if not table.failed else f"{table.failed} checks failed")
    return 1 if table.failed else 0


if __name__ == "__main__":
    sys.exit(main())
