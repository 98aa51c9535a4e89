"""Names of the HTTP headers that daisystack uses."""

from __future__ import annotations

__all__ = [
    "ATTEMPT_END",
    "CRASHED",
    "TIME_LEFT",
    "IN_FLIGHT",
    "LEAVING",
    "MODEL",
    "PREFIX",
    "REPEATABLE",
    "REPLAYED",
    "REQUEST_ID",
    "RETRY_AFTER",
    "SEALED",
    "SERVED_BY",
    "SERVING",
    "SUSPECT",
    "TICKET",
    "TIMEOUT",
    "VERDICT",
    "WORKSPACE",
]

WORKSPACE = "Daisystack-Workspace"
REPEATABLE = "Daisystack-Repeatable"
TICKET = "Daisystack-Ticket"
TIMEOUT = "Daisystack-Timeout-S"
PREFIX = "Daisystack-Prefix"
VERDICT = "Daisystack-Verdict"
REQUEST_ID = "Daisystack-Request-Id"
SERVED_BY = "Daisystack-Served-By"
REPLAYED = "Daisystack-Replayed"
RETRY_AFTER = "Retry-After"

# Sent between entry and agent only.
MODEL = "Daisystack-Model"
TIME_LEFT = "Daisystack-Time-Left-S"
ATTEMPT_END = "Daisystack-Attempt-End"
SEALED = "Daisystack-Sealed"
IN_FLIGHT = "Daisystack-In-Flight"
SUSPECT = "Daisystack-Suspect"
CRASHED = "Daisystack-Crashed"
LEAVING = "Daisystack-Leaving"

# Sent by model engines.
SERVING = "Engine-Serving"
