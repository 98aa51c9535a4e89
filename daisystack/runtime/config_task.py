"""Keep the configuration up to date from the config service and peers; notify listeners."""

from __future__ import annotations

import contextlib
import logging
import random
from collections.abc import Callable
from functools import singledispatchmethod

import eventlet
from attrs import define, field, frozen
from eventlet.queue import Empty, Queue

from daisystack.backends import BackendError, ConfigService
from daisystack.core.audit import AuditAction, AuditEvent, AuditTrail
from daisystack.core.bootstrap import Bootstrap
from daisystack.core.config_keeper import (
    AcceptedConfig,
    ConfigAccepted,
    ConfigIgnored,
    ConfigKeeper,
    ConfigRefused,
    PublishedDocument,
)
from daisystack.runtime.clock import now_s, wall_clock_s
from daisystack.runtime.events import PeerPullFailed, ServiceReadFailed
from daisystack.runtime.logs import log_event, record_audit
from daisystack.runtime.peer_link import PeerError, PeerLink
from daisystack.runtime.tasks import run_logged, run_steps

__all__ = ["ConfigTask", "DocumentReceived", "PeerQueried", "RevisionObserved"]

WATCH_TIMEOUT_S = 10.0
TICK_S = 0.25
RETRY_MIN_S = 1.0
RETRY_MAX_S = 15.0
PULL_TIMEOUT_S = 5.0
# All readers of a zone may be served old data, so every process occasionally reads as well.
RANDOM_READ_PROBABILITY = 0.01

_logger = logging.getLogger("daisystack.config")


@frozen
class DocumentReceived:
    """Message: a source delivered a document."""

    published: PublishedDocument
    source: str


@frozen
class RevisionObserved:
    """Message: a peer reported a revision, which may be newer than the local one."""

    peer_address: str
    revision: int


@frozen
class PeerQueried:
    """Message: a peer was queried; revision is None if it did not answer or the pull has ended."""

    peer_address: str
    revision: int | None


Message = DocumentReceived | RevisionObserved | PeerQueried


@define(eq=False)
class ConfigTask:
    """Own the config keeper; connect only to watch the service and to pull from peers."""

    own_id: str
    service: ConfigService
    trail: AuditTrail
    bootstrap: Bootstrap
    inbox: Queue = field(factory=Queue)
    on_accepted: list[Callable[[AcceptedConfig], None]] = field(factory=list)
    keeper: ConfigKeeper = field(factory=ConfigKeeper)
    # Returns whether this process is one of those that read the service now.
    may_read: Callable[[], bool] = lambda: True
    service_contact_s: float | None = None
    confirmed_s: float | None = None
    service_calls: int = 0
    refused_count: int = 0
    _pulling: set[str] = field(factory=set)

    def start(self) -> None:
        """Start processing messages and watching the config service."""
        eventlet.spawn(run_steps, "config", self._process_next)
        eventlet.spawn(run_steps, "config watch", self._watch)

    def service_age_s(self, at_s: float) -> float:
        """Return the time since the last known contact of any process with the config service."""
        return at_s - self.service_contact_s if self.service_contact_s is not None else 1e9

    def confirmed_after(self, at_s: float) -> bool:
        """Return whether a peer or the service has confirmed the local revision since at_s."""
        return self.confirmed_s is not None and self.confirmed_s >= at_s

    def record_peer_revision(self, revision: int, at_s: float) -> None:
        """Record a peer's revision; it confirms the local one if it is not newer and not 0."""
        if 0 < revision <= self.keeper.revision:
            self.confirmed_s = at_s

    def record_service_age(self, age_s: float, at_s: float) -> None:
        """Record how long ago the service answered, as measured here or reported by a peer."""
        contact_s = at_s - age_s
        if self.service_contact_s is None or contact_s > self.service_contact_s:
            self.service_contact_s = contact_s

    def _process_next(self) -> None:
        with contextlib.suppress(Empty):
            self._handle_message(self.inbox.get(timeout=TICK_S))
        if self.bootstrap.is_complete(now_s()):
            newest = self.bootstrap.pop_newest()
            if newest is not None:
                self._offer_document(newest, "start")

    @singledispatchmethod
    def _handle_message(self, message: Message) -> None:
        raise TypeError(f"got {type(message).__name__}, allowed are {Message}")

    @_handle_message.register
    def _(self, message: DocumentReceived) -> None:
        if self.bootstrap.is_complete(now_s()):
            self._offer_document(message.published, message.source)
        else:
            self.bootstrap.offer(message.published)

    @_handle_message.register
    def _(self, message: RevisionObserved) -> None:
        self._pull_if_newer(message.peer_address, message.revision)

    @_handle_message.register
    def _(self, message: PeerQueried) -> None:
        if not message.revision:
            self.bootstrap.mark_peer_done(message.peer_address)
        else:
            self._pull_if_newer(message.peer_address, message.revision)

    def _pull_if_newer(self, address: str, revision: int) -> None:
        if revision <= self.keeper.revision or address in self._pulling:
            return
        self._pulling.add(address)
        eventlet.spawn(self._pull, address)

    def _pull(self, address: str) -> None:
        link = PeerLink(address, timeout_s=PULL_TIMEOUT_S)
        try:
            document = link.call("document", self.keeper.revision)
            if document.revision:
                published = PublishedDocument(document.revision, document.body)
                self.inbox.put(DocumentReceived(published, f"peer {address}"))
        except PeerError as error:
            log_event(_logger, PeerPullFailed(address, str(error)))
        finally:
            link.close()
            self._pulling.discard(address)
            self.inbox.put(PeerQueried(address, None))

    def _offer_document(self, published: PublishedDocument, source: str) -> None:
        self._handle_outcome(self.keeper.offer(published, source, now_s()))

    @singledispatchmethod
    def _handle_outcome(self, outcome) -> None:
        raise TypeError(f"got {type(outcome).__name__}, allowed are the members of ConfigOutcome")

    @_handle_outcome.register
    def _(self, outcome: ConfigIgnored) -> None:
        return

    @_handle_outcome.register
    def _(self, outcome: ConfigAccepted) -> None:
        before, after = outcome.previous_revision, outcome.config.revision
        self._audit(AuditAction.CONFIG_ACCEPTED, before, after, f"from {outcome.source}")
        self.confirmed_s = outcome.config.accepted_s
        for listener in self.on_accepted:
            run_logged("config listener", listener, outcome.config)

    @_handle_outcome.register
    def _(self, outcome: ConfigRefused) -> None:
        self.refused_count += 1
        reason = f"from {outcome.source}: " + "; ".join(outcome.faults)
        revision = self.keeper.revision
        self._audit(AuditAction.CONFIG_REFUSED, outcome.revision, revision, reason)

    def _audit(self, action: AuditAction, before: int, after: int, outcome: str) -> None:
        event = AuditEvent(
            who=self.own_id,
            what=action,
            when_s=wall_clock_s(),
            revision=self.keeper.revision,
            before=f"revision {before}",
            after=f"revision {after}",
            outcome=outcome,
        )
        record_audit(self.trail, event)

    def _watch(self) -> None:
        pause_s = RETRY_MIN_S
        while True:
            if not self.may_read() and random.random() > RANDOM_READ_PROBABILITY:
                eventlet.sleep(RETRY_MIN_S)
                continue
            try:
                self._poll_service()
                pause_s = RETRY_MIN_S
            except BackendError as error:
                log_event(_logger, ServiceReadFailed(str(error)))
                eventlet.sleep(pause_s * random.uniform(0.75, 1.25))
                pause_s = min(RETRY_MAX_S, 2 * pause_s)

    def _poll_service(self) -> None:
        # A refused revision is not requested again, only a later one.
        after = max(self.keeper.revision, self.keeper.highest_refused_revision)
        # The first read does not wait, because it shows whether the service is reachable.
        wait_s = WATCH_TIMEOUT_S if self.service_contact_s is not None else 0.0
        self.service_calls += 1
        requested_s = now_s()
        published = self.service.watch(after, wait_s)
        self.record_service_age(now_s() - requested_s if published is None else 0.0, now_s())
        if published is None and self.keeper.current is not None:
            self.confirmed_s = requested_s
        if published is not None:
            self.inbox.put(DocumentReceived(published, "config service"))
            eventlet.sleep(TICK_S)
