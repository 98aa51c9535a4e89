"""Check a traffic policy before it is published, and compare it with the one in force."""

from daisystack.core.policy_check.differences import Difference, compare_policies
from daisystack.core.policy_check.findings import Finding, Severity, check_policy

__all__ = ["Difference", "Finding", "Severity", "check_policy", "compare_policies"]
