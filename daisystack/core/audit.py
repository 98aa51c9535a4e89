"""Audit trail of the changes that a process makes."""

from __future__ import annotations

import enum
from collections import deque

from attrs import define, field, frozen

__all__ = ["AuditAction", "AuditEvent", "AuditTrail"]

MAX_EVENTS = 1000


class AuditAction(enum.Enum):
    """Kind of an audited change."""

    CONFIG_ACCEPTED = "config_accepted"
    CONFIG_REFUSED = "config_refused"
    ORDER_SENT = "order_sent"
    ORDER_ANSWERED = "order_answered"
    GATE_OPENED = "gate_opened"
    GATE_CLOSED = "gate_closed"
    LEAVING = "leaving"
    REQUEST_HELD = "request_held"


@frozen
class AuditEvent:
    """One audited change: who, what, when, at which configuration revision, and the outcome."""

    who: str
    what: AuditAction
    when_s: float
    revision: int
    before: str
    after: str
    outcome: str


@define
class AuditTrail:
    """Bounded list of the latest audit events."""

    _events: deque[AuditEvent] = field(factory=lambda: deque(maxlen=MAX_EVENTS))

    def add(self, event: AuditEvent) -> None:
        """Append an event and drop the oldest when the trail is full."""
        self._events.append(event)

    def events(self) -> tuple[AuditEvent, ...]:
        """Return the events, oldest first."""
        return tuple(self._events)
