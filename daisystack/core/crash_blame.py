"""Decide which requests to blame when an engine dies under them."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.tickets import Ticket

__all__ = ["CrashBlame"]

MAX_REMEMBERED = 1024


@define
class _Running:
    life: str
    is_suspect: bool


@define
class CrashBlame:
    """Know what ran in each life of the engine.

    A request that was there when another engine died runs as the only such suspect, so that a
    second death is its own doing and those beside it stay free of blame.
    """

    _running: dict[Ticket, _Running] = field(factory=dict)
    _blamed: dict[Ticket, None] = field(factory=dict)
    _judged_lives: dict[str, None] = field(factory=dict)

    @property
    def has_suspect(self) -> bool:
        """Say whether a suspect runs now."""
        return any(running.is_suspect for running in self._running.values())

    def begin(self, ticket: Ticket, life: str, is_suspect: bool) -> None:
        """Record a request sent to a life of the engine."""
        self._running[ticket] = _Running(life, is_suspect)

    def end(self, ticket: Ticket) -> None:
        """Record a request that has ended."""
        self._running.pop(ticket, None)

    def died(self, life: str) -> None:
        """Blame the suspect that ran when a life ended, or everything that ran."""
        if life in self._judged_lives:
            return
        _remember(self._judged_lives, life)
        there = [ticket for ticket, running in self._running.items() if running.life == life]
        suspects = [ticket for ticket in there if self._running[ticket].is_suspect]
        for ticket in suspects or there:
            _remember(self._blamed, ticket)

    def is_blamed(self, ticket: Ticket) -> bool:
        """Say whether a ticket is blamed for a death."""
        return ticket in self._blamed


def _remember(known: dict, key: object) -> None:
    known[key] = None
    if len(known) > MAX_REMEMBERED:
        known.pop(next(iter(known)))
