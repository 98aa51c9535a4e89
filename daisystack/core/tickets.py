"""Bind a request to one life of one owner, so that no other process ever runs it."""

from __future__ import annotations

import re

from attrs import frozen

__all__ = ["MAX_TICKET_LIFETIME_S", "Ticket", "mint_ticket", "parse_ticket"]

MAX_TICKET_LIFETIME_S = 900.0
MS_PER_S = 1000
MAX_TICKET_CHARS = 256

_TICKET_PATTERN = re.compile(r"([A-Za-z0-9_-]+)\.([A-Za-z0-9]+)\.([0-9]{1,15})\.([A-Za-z0-9]+)")


@frozen
class Ticket:
    """Hold an owner, its life, an expiry on the owner's own uptime, and a random part."""

    owner: str
    incarnation: str
    expires_uptime_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.owner}.{self.incarnation}.{self.expires_uptime_ms}.{self.nonce}"

    @property
    def expires_uptime_s(self) -> float:
        """Return the owner's uptime from which the ticket no longer runs."""
        return self.expires_uptime_ms / MS_PER_S


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket; raises ValueError that says what was got."""
    match = _TICKET_PATTERN.fullmatch(text) if len(text) <= MAX_TICKET_CHARS else None
    if match is None:
        shown = text[:MAX_TICKET_CHARS]
        raise ValueError(f"got ticket {shown!r}, allowed is one from POST /v1/tickets/POOL")
    owner, incarnation, expires, nonce = match.groups()
    return Ticket(owner, incarnation, int(expires), nonce)


def mint_ticket(
    owner: str, incarnation: str, owner_uptime_s: float, lifetime_s: float, nonce: str
) -> Ticket:
    """Make a ticket from the owner's newest known uptime.

    A stale uptime only makes the ticket expire earlier, so no clock has to be shared.
    """
    lifetime_s = min(lifetime_s, MAX_TICKET_LIFETIME_S)
    return Ticket(owner, incarnation, int((owner_uptime_s + lifetime_s) * MS_PER_S), nonce)
