"""Wait for the signal to stop a process."""

from __future__ import annotations

import os
import signal
from collections.abc import Callable

import eventlet
import eventlet.patcher
from eventlet.hubs import trampoline

__all__ = ["wait_for_stop"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
MAX_READ_BYTES = 64
# The green version may wait in the event loop, which a signal handler must not do.
_write_bytes = eventlet.patcher.original("os").write


def wait_for_stop(on_hangup: Callable[[], None]) -> None:
    """Return after SIGTERM or SIGINT; call on_hangup to reload the settings on SIGHUP.

    A signal is passed through a pipe, so that an idle process does not wake up to look for one.
    """
    reader, writer = os.pipe()
    for number in (signal.SIGHUP, *STOP_SIGNALS):
        signal.signal(number, lambda signum, _: _write_bytes(writer, bytes((signum,))))
    while True:
        trampoline(reader, read=True)
        received = os.read(reader, MAX_READ_BYTES)
        if any(number in received for number in STOP_SIGNALS):
            return
        eventlet.spawn(on_hangup)
