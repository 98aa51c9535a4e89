"""Wait for the signal that asks a process to stop."""

from __future__ import annotations

import signal
from collections.abc import Callable

import eventlet

__all__ = ["wait_for_stop"]

POLL_S = 0.1


def wait_for_stop(on_hangup: Callable[[], None]) -> None:
    """Return once the process is asked to stop; a hangup asks for the settings to be read again."""
    asked: list[int] = []
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn(on_hangup))
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda got, _: asked.append(got))
    while not asked:
        eventlet.sleep(POLL_S)
