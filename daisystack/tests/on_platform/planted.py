"""Run an entry or an agent with a fault planted, to show that the soak finds it.

The variable DAISYSTACK_PLANTED names the fault; the programs themselves know nothing of it.
"""

from __future__ import annotations

import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent.parent
sys.path.insert(0, str(ROOT / "platform"))

# Puts green threads in place, before anything else is imported.
import serve  # noqa: E402

# isort: split
import documents  # noqa: E402
from daisystack.core.mirror import Mirror  # noqa: E402
from daisystack.core.rate_limits import RateLimits  # noqa: E402
from daisystack.core.requests import RequestState  # noqa: E402
from daisystack.core.upstream_pauses import UpstreamPauses  # noqa: E402
from daisystack.tests.on_platform.soak_site import PLANTED_VARIABLE  # noqa: E402

__all__ = ["PLANT_BY_NAME"]


def plant_retry_after_send() -> None:
    """Retry any request, also one that may have run."""
    decide = RequestState.next_step

    def decide_as_repeatable(self, outcome, budget, now_s):
        self.repeatable = True
        return decide(self, outcome, budget, now_s)

    RequestState.next_step = decide_as_repeatable


def plant_old_copy() -> None:
    """Accept older values from a store that came back from a copy."""
    Mirror._is_outdated = lambda self, change: False


def plant_lost_drain() -> None:
    """Ignore what upstreams say of their leaving."""
    documents._READY_BY_STATE["draining"] = True
    UpstreamPauses.record_leaving = lambda self, upstream_id, started_ms, now_s: False


def plant_lost_limit() -> None:
    """Ignore the limits that upstreams name."""
    RateLimits._merge = lambda self, news, now_s: None


PLANT_BY_NAME = {
    "retry-after-send": plant_retry_after_send,
    "old-copy": plant_old_copy,
    "lost-drain": plant_lost_drain,
    "lost-limit": plant_lost_limit,
}


if __name__ == "__main__":
    PLANT_BY_NAME[os.environ[PLANTED_VARIABLE]]()
    sys.exit(serve.main())
