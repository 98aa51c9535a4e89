"""Keep daemon tasks running after one of their steps fails."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet

__all__ = ["run_logged", "run_steps"]

FAILED_STEP_PAUSE_S = 1.0

_logger = logging.getLogger("daisystack.tasks")


def run_logged(name: str, action: Callable[..., object], *arguments: object) -> bool:
    """Call an action and return whether it succeeded; a failure is logged with its traceback."""
    try:
        action(*arguments)
    except Exception:  # one failed step must not end a task that others depend on
        _logger.exception("task_step_failed", extra={"task": name})
        return False
    return True


def run_steps(name: str, step: Callable[[], object]) -> None:
    """Call a step repeatedly without end, pausing FAILED_STEP_PAUSE_S after a failure."""
    while True:
        if not run_logged(name, step):
            eventlet.sleep(FAILED_STEP_PAUSE_S)
