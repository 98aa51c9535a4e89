"""Attribute the crash of an engine to the requests that it was running."""

from __future__ import annotations

from attrs import define, field

from daisystack.core.tickets import Ticket

__all__ = ["CrashAttribution"]

MAX_TRACKED = 1024


@define
class _Running:
    incarnation: str
    is_suspect: bool


@define
class CrashAttribution:
    """Track the requests that run in each incarnation of the engine and those tied to a crash.

    A request that was running when another engine crashed is a suspect. Only one suspect runs at a
    time, so that a second crash is attributed to it and not to the requests running beside it.
    """

    _running: dict[Ticket, _Running] = field(factory=dict)
    _attributed: dict[Ticket, None] = field(factory=dict)
    _crashed_incarnations: dict[str, None] = field(factory=dict)

    @property
    def has_suspect(self) -> bool:
        """Return whether a suspect is running."""
        return any(running.is_suspect for running in self._running.values())

    def begin(self, ticket: Ticket, incarnation: str, is_suspect: bool) -> None:
        """Record a request sent to an incarnation of the engine."""
        self._running[ticket] = _Running(incarnation, is_suspect)

    def end(self, ticket: Ticket) -> None:
        """Record a request that has ended."""
        self._running.pop(ticket, None)

    def record_crash(self, incarnation: str) -> None:
        """Attribute the crash of an incarnation to its running suspects, or to all it ran.

        Further calls for the same incarnation have no effect.
        """
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
        """Return whether a crash is attributed to a ticket."""
        return ticket in self._attributed


def _add_bounded(known: dict, key: object) -> None:
    known[key] = None
    if len(known) > MAX_TRACKED:
        known.pop(next(iter(known)))
