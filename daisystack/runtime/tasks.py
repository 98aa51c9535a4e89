"""Keep the tasks of a daemon running when one step of them fails."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet

__all__ = ["run_logged", "run_steps"]

FAILED_STEP_PAUSE_S = 1.0

_logger = logging.getLogger("daisystack.tasks")


def run_logged(name: str, action: Callable[..., object], *arguments: object) -> bool:
    """Call an action and say whether it ended well; a failure is logged with its traceback."""
    try:
        action(*arguments)
    except Exception:  # a fault in one step must not end the task that the others need
        _logger.exception("task_step_failed", extra={"task": name})
        return False
    return True


def run_steps(name: str, step: Callable[[], object]) -> None:
    """Call a step for ever, with a pause after one that failed."""
    while True:
        if not run_logged(name, step):
            eventlet.sleep(FAILED_STEP_PAUSE_S)
