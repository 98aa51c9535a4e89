"""Wait for the signal to stop a process."""

from __future__ import annotations

import signal
from collections.abc import Callable

import eventlet

__all__ = ["wait_for_stop"]

STOP_POLL_INTERVAL_S = 0.1


def wait_for_stop(on_hangup: Callable[[], None]) -> None:
    """Return after SIGTERM or SIGINT; call on_hangup to reload the settings on SIGHUP."""
    received: list[int] = []
    signal.signal(signal.SIGHUP, lambda *_: eventlet.spawn(on_hangup))
    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        signal.signal(stop_signal, lambda signum, _: received.append(signum))
    while not received:
        eventlet.sleep(STOP_POLL_INTERVAL_S)
