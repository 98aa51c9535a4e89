"""Own an entry's connections to the agents and choose among them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from attrs import define, field, frozen

from daisystack.core.peers import PeerStatus
from daisystack.core.register import Instance, SiteDocument
from daisystack.core.routing import (
    InFlightCounts,
    Target,
    choose_upstream,
    list_candidates,
)
from daisystack.core.tickets import Ticket, mint_ticket
from daisystack.runtime.clock import now_s
from daisystack.runtime.heartbeat_task import HeartbeatTask
from daisystack.runtime.upstream_http import UpstreamHttp

__all__ = ["Chosen", "Upstreams"]

TICKET_MARGIN_S = 30.0
NONCE_BYTES = 8


@frozen
class Chosen:
    """Name the upstream of an attempt and the ticket it runs under."""

    instance: Instance
    ticket: Ticket


@define(eq=False)
class Upstreams:
    """Choose upstreams and hold one connection pool for each."""

    zone: str
    heartbeats: HeartbeatTask
    find_document: Callable[[], SiteDocument | None]
    progress_timeout_s: float
    draw: random.Random = field(factory=random.SystemRandom)
    in_flight: InFlightCounts = field(factory=InFlightCounts)
    leaving: frozenset[str] = frozenset()
    _pools: dict[str, UpstreamHttp] = field(factory=dict)

    @property
    def document(self) -> SiteDocument | None:
        """Return the document in force."""
        return self.find_document()

    def choose(
        self,
        document: SiteDocument,
        target: Target,
        prefix: str | None,
        tried: set[str | None],
        left_s: float,
    ) -> Chosen | None:
        """Choose an upstream that was not tried, and mint a ticket for it."""
        peers = self.heartbeats.peers
        candidates = list_candidates(document, target, self.zone, peers, self.in_flight, now_s())
        unwanted = tried | self.leaving
        fresh = [c for c in candidates if c.instance.id not in unwanted]
        candidate = choose_upstream(fresh, prefix, self.draw)
        if candidate is None:
            return None
        ticket = self.mint(candidate.status, left_s + TICKET_MARGIN_S)
        return Chosen(candidate.instance, ticket)

    def owner(self, document: SiteDocument, ticket: Ticket) -> Chosen | None:
        """Return the owner of a caller's ticket, the only upstream that may run it."""
        instance = document.instances.get(ticket.owner)
        return Chosen(instance, ticket) if instance is not None else None

    def mint(self, status: PeerStatus, lifetime_s: float) -> Ticket:
        """Mint a ticket for the life that an upstream's newest status names."""
        nonce = secrets.token_hex(NONCE_BYTES)
        return mint_ticket(
            status.instance_id, status.incarnation, status.uptime_s, lifetime_s, nonce
        )

    def http(self, instance: Instance) -> UpstreamHttp:
        """Return the connections to an upstream's agent."""
        address = instance.http_address
        if address not in self._pools:
            self._pools[address] = UpstreamHttp(address, self.progress_timeout_s)
        return self._pools[address]

    def forget_all_but(self, document: SiteDocument) -> None:
        """Close the connections to agents that are no longer listed."""
        listed = {instance.http_address for instance in document.upstreams}
        for address in self._pools.keys() - listed:
            self._pools.pop(address).close()
