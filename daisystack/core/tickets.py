"""Tickets: idempotency keys bound to one incarnation of one owner, the only one to run them."""

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
    """Owner, its incarnation, expiry measured by the owner's uptime, and a random nonce."""

    owner: str
    incarnation: str
    expires_uptime_ms: int
    nonce: str

    def __str__(self) -> str:
        return f"{self.owner}.{self.incarnation}.{self.expires_uptime_ms}.{self.nonce}"

    @property
    def expires_uptime_s(self) -> float:
        """Return the owner's uptime in seconds at which the ticket expires."""
        return self.expires_uptime_ms / MS_PER_S


def parse_ticket(text: str) -> Ticket:
    """Parse a ticket; raise ValueError with the received text if it is malformed."""
    match = _TICKET_PATTERN.fullmatch(text) if len(text) <= MAX_TICKET_CHARS else None
    if match is None:
        shown = text[:MAX_TICKET_CHARS]
        raise ValueError(f"got ticket {shown!r}, allowed is one from POST /v1/tickets/POOL")
    owner, incarnation, expires, nonce = match.groups()
    return Ticket(owner, incarnation, int(expires), nonce)


def mint_ticket(
    owner: str, incarnation: str, owner_uptime_s: float, lifetime_s: float, nonce: str
) -> Ticket:
    """Mint a ticket from the latest known uptime of its owner.

    A stale uptime only makes the ticket expire earlier, so no shared clock is needed.
    """
    lifetime_s = min(lifetime_s, MAX_TICKET_LIFETIME_S)
    return Ticket(owner, incarnation, int((owner_uptime_s + lifetime_s) * MS_PER_S), nonce)
