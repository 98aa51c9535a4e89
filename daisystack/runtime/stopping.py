"""Wait for the signal that asks a process to stop."""

from __future__ import annotations

import signal

import eventlet

__all__ = ["wait_for_stop"]

POLL_S = 0.1


def wait_for_stop() -> None:
    """Return once the process is asked to stop."""
    asked: list[int] = []
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda got, _: asked.append(got))
    while not asked:
        eventlet.sleep(POLL_S)
