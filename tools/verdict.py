"""Compare the test runner's JUnit results with KNOWN-RED.txt and print the verdict."""

from __future__ import annotations

import sys
import xml.etree.ElementTree as ElementTree
from pathlib import Path

from attrs import frozen


@frozen
class Results:
    """Test ids by outcome, as the runner reported them."""

    passed: frozenset[str]
    failed: frozenset[str]
    skipped: frozenset[str]


def read_results(path: Path) -> Results:
    """Read a JUnit file; raise FileNotFoundError when the runner wrote none."""
    passed, failed, skipped = set(), set(), set()
    for case in ElementTree.parse(path).getroot().iter("testcase"):
        test_id = f"{case.get('classname')}.{case.get('name')}"
        if case.find("failure") is not None or case.find("error") is not None:
            failed.add(test_id)
        elif case.find("skipped") is not None:
            skipped.add(test_id)
        else:
            passed.add(test_id)
    return Results(frozenset(passed - failed), frozenset(failed), frozenset(skipped))


def read_known_red(path: Path) -> dict[str, str]:
    """Return the listed test ids, each with its full line."""
    known_red = {}
    for line in path.read_text().splitlines():
        if line.strip() and not line.startswith("#"):
            known_red[line.split("|")[0].strip()] = line
    return known_red


def main(arguments: list[str]) -> int:
    """Print the verdict; return 1 on an unlisted failure, a listed test without one, or no pass."""
    results = read_results(Path(arguments[0]))
    known_red = read_known_red(Path(arguments[1]))
    unlisted = sorted(results.failed - known_red.keys())
    stale = sorted(known_red.keys() - results.failed)
    for test_id in sorted(results.failed & known_red.keys()):
        print(f"known red: {known_red[test_id]}")
    for test_id in unlisted:
        print(f"red and not listed: {test_id}")
    for test_id in stale:
        print(f"listed in KNOWN-RED.txt but not red: {test_id}")
    if results.skipped:
        print(f"skipped: {', '.join(sorted(results.skipped))}")
    failed_count = len(unlisted) + len(stale)
    print(f"{len(results.passed)} passed, {failed_count} failed")
    return 1 if failed_count or not results.passed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
