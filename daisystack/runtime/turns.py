"""Bound how long a green thread runs without giving way to the others."""

from __future__ import annotations

import eventlet
from attrs import define, field
from eventlet.greenio import GreenSocket

from daisystack.runtime.clock import now_s

__all__ = ["MAX_TURN_S", "Turn", "YieldingSocket"]

# Every request of the process may wait for one such turn of each busy connection.
MAX_TURN_S = 0.002


@define
class Turn:
    """Time since a green thread last waited or gave way."""

    started_s: float = field(factory=now_s)

    def restart(self) -> None:
        """Record that other green threads have just run."""
        self.started_s = now_s()

    def give_way(self) -> bool:
        """Let other green threads run if this turn has lasted too long; return whether it had."""
        if now_s() - self.started_s < MAX_TURN_S:
            return False
        eventlet.sleep(0)
        self.restart()
        return True


class YieldingSocket(GreenSocket):
    """Socket that lets other green threads run even if its peer's bytes never run out."""

    def __init__(self, *arguments, **options) -> None:
        super().__init__(*arguments, **options)
        self._turn = Turn()

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Return the next bytes."""
        self._turn.give_way()
        return super().recv(bufsize, flags)

    def recv_into(self, buffer, nbytes: int = 0, flags: int = 0) -> int:
        """Receive into a buffer and return the number of bytes."""
        self._turn.give_way()
        return super().recv_into(buffer, nbytes, flags)

    def _read_trampoline(self) -> None:
        super()._read_trampoline()
        self._turn.restart()
