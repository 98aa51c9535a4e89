"""Print the findings of a policy and its differences from the version in force."""

from __future__ import annotations

import json
from collections.abc import Mapping

from attrs import asdict
from rich.console import Console
from rich.table import Table

from daisystack.core.policy_check import (
    Difference,
    Finding,
    Severity,
    check_policy,
    compare_policies,
)
from daisystack.core.traffic import TrafficPolicy

__all__ = ["report_policy"]

FILE_WIDTH = 160


def report_policy(
    policy: TrafficPolicy,
    in_force: TrafficPolicy | None,
    region_by_zone: Mapping[str, str],
    as_json: bool,
) -> bool:
    """Print the report and return whether the policy has no error."""
    findings = check_policy(policy, region_by_zone)
    differences = compare_policies(in_force, policy) if in_force is not None else []
    if as_json:
        rows = {
            "findings": [asdict(finding) for finding in findings],
            "differences": [asdict(difference) for difference in differences],
        }
        print(json.dumps(rows))
    else:
        _print_tables(policy, findings, differences)
    return not any(finding.severity is Severity.ERROR for finding in findings)


def _print_tables(
    policy: TrafficPolicy, findings: list[Finding], differences: list[Difference]
) -> None:
    console = Console(highlight=False)
    if not console.is_terminal:
        console = Console(width=FILE_WIDTH, highlight=False)
    counted = f"{len(policy.routes)} routes, {len(policy.services)} services"
    console.print(f"version {policy.version}: {counted}, {len(policy.workspaces)} workspaces")
    for rows in (findings, differences):
        if rows:
            table = Table(box=None, show_header=False)
            for row in rows:
                table.add_row(*(str(value) for value in asdict(row).values()))
            console.print(table)
    if not findings:
        console.print("nothing found")
