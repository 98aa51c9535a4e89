"""Choose upstreams for an entry's requests, count requests and hold HTTP clients to agents."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable

from attrs import define, field, frozen

from daisystack.core.held_bytes import HeldBytes
from daisystack.core.peers import PeerStatus
from daisystack.core.readers import upstreams_of_entry
from daisystack.core.register import Instance, SiteDocument
from daisystack.core.routing import (
    InFlightCounts,
    Target,
    choose_upstream,
    list_candidates,
    serves_target,
)
from daisystack.core.tickets import Ticket, mint_ticket
from daisystack.core.upstream_latency import UpstreamLatency
from daisystack.runtime.clock import now_s
from daisystack.runtime.heartbeat_task import HeartbeatTask
from daisystack.runtime.upstream_http import UpstreamClient

__all__ = ["UpstreamAssignment", "Upstreams", "UpstreamRequirements"]

TICKET_MARGIN_S = 30.0
NONCE_BYTES = 8


@frozen
class UpstreamRequirements:
    """State what a request requires of an upstream, and the upstreams it must not use."""

    target: Target
    time_left_s: float
    prefix: str | None = None
    is_suspect: bool = False
    excluded: frozenset[str] = frozenset()


@frozen
class UpstreamAssignment:
    """Hold the upstream of an attempt and the ticket under which it runs."""

    instance: Instance
    ticket: Ticket
    is_suspect: bool = False


@define(eq=False)
class Upstreams:
    """Choose upstreams, count the requests in flight at each, and hold an HTTP client for each."""

    own_id: str
    zone: str
    heartbeats: HeartbeatTask
    get_document: Callable[[], SiteDocument | None]
    progress_timeout_s: float
    # Bytes of answers that the process holds.
    held: HeldBytes = field(factory=HeldBytes)
    rng: random.Random = field(factory=random.SystemRandom)
    in_flight: InFlightCounts = field(factory=InFlightCounts)
    latency: UpstreamLatency = field(factory=UpstreamLatency)
    leaving_ids: frozenset[str] = frozenset()
    _clients: dict[str, UpstreamClient] = field(factory=dict)
    _upstreams_by_target: dict[Target, list[Instance]] = field(factory=dict)
    _running_suspects: set[str] = field(factory=set)

    @property
    def document(self) -> SiteDocument | None:
        """Return the document in force, or None before one has been accepted."""
        return self.get_document()

    def assign(
        self, document: SiteDocument, requirements: UpstreamRequirements
    ) -> UpstreamAssignment | None:
        """Choose an upstream with free capacity, if any, mint its ticket and count the request."""
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
        """Assign a request to its ticket's owner, the only upstream that may run it, if listed."""
        instance = document.instances.get(ticket.owner)
        if instance is None:
            return None
        assignment = UpstreamAssignment(instance, ticket)
        self._count(assignment)
        return assignment

    def mark_unreachable(self, assignment: UpstreamAssignment) -> None:
        """Exclude an upstream from new requests until its next heartbeat."""
        self.latency.mark_unreachable(assignment.instance.id)

    def is_stuck(self, assignment: UpstreamAssignment) -> bool:
        """Return whether an upstream has answered no request for too long."""
        return self.latency.is_stuck(assignment.instance.id, now_s())

    def apply_heartbeat(self, status: PeerStatus) -> None:
        """Apply the load and the liveness that a heartbeat reports."""
        self.in_flight.record_report(status.instance_id, status.in_flight)
        self.latency.record_heartbeat(status.instance_id)

    def record_reported_load(self, assignment: UpstreamAssignment, text: str | None) -> None:
        """Record the number of requests in flight that an agent reports with an answer."""
        if text is not None and text.isdigit():
            self.in_flight.record_report(assignment.instance.id, int(text))

    def record_answered(self, assignment: UpstreamAssignment) -> None:
        """Record that an upstream's answer has arrived, or the first data of a streamed answer."""
        self.latency.record_answered(assignment.instance.id, assignment.ticket, now_s())

    def count_retry(self, assignment: UpstreamAssignment) -> None:
        """Count another attempt of a request at the same upstream."""
        self._count(assignment)

    def release(self, assignment: UpstreamAssignment) -> None:
        """Stop counting an attempt that has ended at its upstream."""
        self.in_flight.end(assignment.instance.id)
        self.latency.record_abandoned(assignment.instance.id, assignment.ticket)
        if assignment.is_suspect:
            self._running_suspects.discard(assignment.instance.id)

    def mint(self, document: SiteDocument, target: Target, lifetime_s: float) -> Ticket | None:
        """Mint a caller's ticket for a random one of the nearest open upstreams, if any is open."""
        candidates = self._candidates(document, target)
        if not candidates:
            return None
        nearest = min(c.distance for c in candidates)
        near = [c for c in candidates if c.distance == nearest]
        return self._mint_ticket(self.rng.choice(near).status, lifetime_s)

    def has_upstreams(
        self, document: SiteDocument, target: Target, excluded: frozenset[str] = frozenset()
    ) -> bool:
        """Return whether any upstream other than the excluded ones is listed for a target."""
        return any(i.id not in excluded for i in self._listed_upstreams(document, target))

    def client_for(self, instance: Instance) -> UpstreamClient:
        """Return the HTTP client to an upstream's agent."""
        address = instance.http_address
        if address not in self._clients:
            self._clients[address] = UpstreamClient(
                address, self.progress_timeout_s, held=self.held
            )
        return self._clients[address]

    def drop_connections(self, instance: Instance) -> None:
        """Drop the idle connections to an upstream after one of them has stalled or failed."""
        client = self._clients.pop(instance.http_address, None)
        if client is not None:
            client.close()

    def apply_document(self, document: SiteDocument) -> None:
        """Drop the state and connections of upstreams that a new document no longer lists."""
        self._upstreams_by_target.clear()
        self.latency.forget_all_but(frozenset(document.instances))
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
            self.latency,
            now_s(),
        )
        return [c for c in candidates if c.instance.id not in self.leaving_ids]

    def _listed_upstreams(self, document: SiteDocument, target: Target) -> list[Instance]:
        if target not in self._upstreams_by_target:
            ids = (
                upstreams_of_entry(document, self.own_id)
                if self.own_id in document.instances
                else []
            )
            listed = (document.instances[id] for id in dict.fromkeys(ids))
            self._upstreams_by_target[target] = [i for i in listed if serves_target(i, target)]
        return self._upstreams_by_target[target]

    def _count(self, assignment: UpstreamAssignment) -> None:
        self.in_flight.begin(assignment.instance.id)
        self.latency.begin(assignment.instance.id, assignment.ticket, now_s())
        if assignment.is_suspect:
            self._running_suspects.add(assignment.instance.id)

    def _mint_ticket(self, status: PeerStatus, lifetime_s: float) -> Ticket:
        nonce = secrets.token_hex(NONCE_BYTES)
        return mint_ticket(
            status.instance_id, status.incarnation, status.uptime_s, lifetime_s, nonce
        )
