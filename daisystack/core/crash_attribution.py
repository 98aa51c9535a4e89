"""Decide which requests to blame when an engine dies under them."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.tickets import Ticket

__all__ = ["CrashAttribution"]

MAX_REMEMBERED = 1024


@define
class _Running:
    incarnation: str
    is_suspect: bool


@define
class CrashAttribution:
    """Know what ran in each life of the engine.

    A request that was there when another engine died runs as the only such suspect, so that a
    second death is its own doing and those beside it stay free of blame.
    """

    _running: dict[Ticket, _Running] = field(factory=dict)
    _attributed: dict[Ticket, None] = field(factory=dict)
    _crashed_incarnations: dict[str, None] = field(factory=dict)

    @property
    def has_suspect(self) -> bool:
        """Say whether a suspect runs now."""
        return any(running.is_suspect for running in self._running.values())

    def begin(self, ticket: Ticket, incarnation: str, is_suspect: bool) -> None:
        """Record a request sent to a life of the engine."""
        self._running[ticket] = _Running(incarnation, is_suspect)

    def end(self, ticket: Ticket) -> None:
        """Record a request that has ended."""
        self._running.pop(ticket, None)

    def record_crash(self, incarnation: str) -> None:
        """Blame the suspect that ran when a life ended, or everything that ran."""
        if incarnation in self._crashed_incarnations:
            return
        _add_bounded(self._crashed_incarnations, incarnation)
        present = [
            ticket
            for ticket, running in self._running.items()
            if running.incarnation == incarnation
        ]
        suspects = [ticket for ticket in present if self._running[ticket].is_suspect]
        for ticket in suspects or present:
            _add_bounded(self._attributed, ticket)

    def is_attributed(self, ticket: Ticket) -> bool:
        """Say whether a ticket is blamed for a death."""
        return ticket in self._attributed


def _add_bounded(known: dict, key: object) -> None:
    known[key] = None
    if len(known) > MAX_REMEMBERED:
        known.pop(next(iter(known)))
