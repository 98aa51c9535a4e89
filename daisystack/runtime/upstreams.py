"""Own an entry's connections to the agents and choose among them."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from attrs import define, field, frozen

from daisystack.core.pace import UpstreamPace
from daisystack.core.peers import PeerStatus
from daisystack.core.readers import upstreams_of_entry
from daisystack.core.register import Instance, SiteDocument
from daisystack.core.routing import (
    InFlightCounts,
    Target,
    choose_upstream,
    is_for,
    list_candidates,
)
from daisystack.core.tickets import Ticket, mint_ticket
from daisystack.runtime.clock import now_s
from daisystack.runtime.heartbeat_task import HeartbeatTask
from daisystack.runtime.upstream_http import UpstreamClient

__all__ = ["UpstreamAssignment", "Upstreams", "UpstreamRequirements"]

TICKET_MARGIN_S = 30.0
NONCE_BYTES = 8


@frozen
class UpstreamRequirements:
    """Say what kind of upstream a request needs."""

    target: Target
    time_left_s: float
    prefix: str | None = None
    is_suspect: bool = False
    excluded: frozenset[str] = frozenset()


@frozen
class UpstreamAssignment:
    """Name the upstream of an attempt and the ticket it runs under."""

    instance: Instance
    ticket: Ticket
    is_suspect: bool = False


@define(eq=False)
class Upstreams:
    """Choose upstreams, count the requests at each, and hold a connection pool for each."""

    own_id: str
    zone: str
    heartbeats: HeartbeatTask
    get_document: Callable[[], SiteDocument | None]
    progress_timeout_s: float
    rng: random.Random = field(factory=random.SystemRandom)
    in_flight: InFlightCounts = field(factory=InFlightCounts)
    pace: UpstreamPace = field(factory=UpstreamPace)
    leaving: frozenset[str] = frozenset()
    _clients: dict[str, UpstreamClient] = field(factory=dict)
    _upstreams_by_target: dict[Target, list[Instance]] = field(factory=dict)
    _running_suspects: set[str] = field(factory=set)

    @property
    def document(self) -> SiteDocument | None:
        """Return the document in force."""
        return self.get_document()

    def assign(
        self, document: SiteDocument, requirements: UpstreamRequirements
    ) -> UpstreamAssignment | None:
        """Choose an upstream with room, mint a ticket for it and count the request there."""
        candidates = [
            c
            for c in self._candidates(document, requirements.target)
            if c.instance.id not in requirements.excluded
            and not (requirements.is_suspect and c.instance.id in self._running_suspects)
        ]
        candidate = choose_upstream(candidates, requirements.prefix, self.rng)
        if candidate is None:
            return None
        ticket = self._mint_ticket(candidate.status, requirements.time_left_s + TICKET_MARGIN_S)
        assignment = UpstreamAssignment(candidate.instance, ticket, requirements.is_suspect)
        self._count(assignment)
        return assignment

    def assign_to_owner(self, document: SiteDocument, ticket: Ticket) -> UpstreamAssignment | None:
        """Count a request at the owner of its ticket, the only upstream that may run it."""
        instance = document.instances.get(ticket.owner)
        if instance is None:
            return None
        assignment = UpstreamAssignment(instance, ticket)
        self._count(assignment)
        return assignment

    def mark_unreachable(self, assignment: UpstreamAssignment) -> None:
        """Leave an upstream alone until its next heartbeat."""
        self.pace.unreachable(assignment.instance.id)

    def is_stuck(self, assignment: UpstreamAssignment) -> bool:
        """Say whether an upstream has answered nobody for too long."""
        return self.pace.is_stuck(assignment.instance.id, now_s())

    def apply_heartbeat(self, status: PeerStatus) -> None:
        """Take a heartbeat."""
        self.in_flight.reported(status.instance_id, status.in_flight)
        self.pace.heard(status.instance_id)

    def record_reported_load(self, assignment: UpstreamAssignment, text: str | None) -> None:
        """Take the count of requests that an agent gives with an answer."""
        if text is not None and text.isdigit():
            self.in_flight.reported(assignment.instance.id, int(text))

    def record_answered(self, assignment: UpstreamAssignment) -> None:
        """Record the first piece of an answer."""
        self.pace.answered(assignment.instance.id, assignment.ticket, now_s())

    def count_retry(self, assignment: UpstreamAssignment) -> None:
        """Count another attempt at the same upstream."""
        self._count(assignment)

    def release(self, assignment: UpstreamAssignment) -> None:
        """Count a request that has left its upstream."""
        self.in_flight.end(assignment.instance.id)
        self.pace.gave_up(assignment.instance.id, assignment.ticket)
        if assignment.is_suspect:
            self._running_suspects.discard(assignment.instance.id)

    def mint(self, document: SiteDocument, target: Target, lifetime_s: float) -> Ticket | None:
        """Mint a ticket for a caller, bound to an upstream that is open now."""
        candidates = self._candidates(document, target)
        if not candidates:
            return None
        nearest = min(c.distance for c in candidates)
        near = [c for c in candidates if c.distance == nearest]
        return self._mint_ticket(self.rng.choice(near).status, lifetime_s)

    def has_upstreams(
        self, document: SiteDocument, target: Target, excluded: frozenset[str] = frozenset()
    ) -> bool:
        """Say whether any upstream is listed for a target apart from the unwanted ones."""
        return any(i.id not in excluded for i in self._listed_upstreams(document, target))

    def client_for(self, instance: Instance) -> UpstreamClient:
        """Return the connections to an upstream's agent."""
        address = instance.http_address
        if address not in self._clients:
            self._clients[address] = UpstreamClient(address, self.progress_timeout_s)
        return self._clients[address]

    def drop_connections(self, instance: Instance) -> None:
        """Drop the idle connections to an upstream after one of them went silent."""
        client = self._clients.pop(instance.http_address, None)
        if client is not None:
            client.close()

    def apply_document(self, document: SiteDocument) -> None:
        """Forget what a new document no longer lists."""
        self._upstreams_by_target.clear()
        self.pace.forget_all_but(frozenset(document.instances))
        listed = {instance.http_address for instance in document.upstreams}
        for address in self._clients.keys() - listed:
            self._clients.pop(address).close()

    def _candidates(self, document: SiteDocument, target: Target):
        candidates = list_candidates(
            document,
            self._listed_upstreams(document, target),
            target,
            self.zone,
            self.heartbeats.peers,
            self.in_flight,
            self.pace,
            now_s(),
        )
        return [c for c in candidates if c.instance.id not in self.leaving]

    def _listed_upstreams(self, document: SiteDocument, target: Target) -> list[Instance]:
        if target not in self._upstreams_by_target:
            ids = (
                upstreams_of_entry(document, self.own_id)
                if self.own_id in document.instances
                else []
            )
            listed = (document.instances[id] for id in dict.fromkeys(ids))
            self._upstreams_by_target[target] = [i for i in listed if is_for(i, target)]
        return self._upstreams_by_target[target]

    def _count(self, assignment: UpstreamAssignment) -> None:
        self.in_flight.begin(assignment.instance.id)
        self.pace.begin(assignment.instance.id, assignment.ticket, now_s())
        if assignment.is_suspect:
            self._running_suspects.add(assignment.instance.id)

    def _mint_ticket(self, status: PeerStatus, lifetime_s: float) -> Ticket:
        nonce = secrets.token_hex(NONCE_BYTES)
        return mint_ticket(
            status.instance_id, status.incarnation, status.uptime_s, lifetime_s, nonce
        )
