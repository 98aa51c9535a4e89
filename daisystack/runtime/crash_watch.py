"""Notice the crashes of upstreams and refuse requests that would cause further ones."""

from __future__ import annotations

import enum
import hashlib
import logging
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.core.crash_hold import CrashHold, EntryCrashCount, Suspicion
from daisystack.core.crash_suspects import (
    CrashSuspects,
    PartEvidence,
    digest_part,
    digest_upstream,
)
from daisystack.core.direct_request import DirectRequest
from daisystack.core.placement import DirectUpstream
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_attempt import AttemptResult
from daisystack.runtime.direct_http import DirectExchange
from daisystack.runtime.events import (
    CrashCounted,
    PartHeld,
    PartReleased,
    RequestHeld,
)
from daisystack.runtime.logs import log_event
from daisystack.runtime.upstream_http import AttemptFailed

__all__ = ["CrashWatch"]

# A crashed upstream refuses connections at once; a live one accepts within this time, even
# from the farthest zone.
PROBE_TIMEOUT_S = 0.1
# A process that ends may accept connections for a moment after it has reset the others.
LATE_PROBES_S = (0.05, 0.15, 0.4)
HELD_REASON = "it crashed the upstreams that ran it"

_logger = logging.getLogger("daisystack.crashes")


class _Probe(enum.Enum):
    LISTENING = "listening"
    REFUSED = "refused"
    SILENT = "silent"


class _Cut(enum.Enum):
    """How far an answer had come that may have been cut by a crash."""

    WITHOUT_HEAD = "without_head"
    BEGUN = "begun"
    # It looks complete, but the end of its connection was its only end.
    UNFRAMED = "unframed"


@define(eq=False)
class CrashWatch:
    """Count crashes against the requests and the parts of prompts that were running at them."""

    hold: CrashHold = field(factory=CrashHold)
    suspects: CrashSuspects = field(factory=CrashSuspects)
    # Called when other entries should hear at once what was counted.
    on_news: Callable[[], None] = lambda: None
    crashes_counted: int = 0
    requests_held: int = 0
    # Requests to count if a late probe finds an upstream down, by its id, and whether their answers
    # had begun.
    _probed_late: dict[str, list[tuple[DirectRequest, _Cut]]] = field(factory=dict)

    def check(self, request: DirectRequest) -> str | None:
        """Return why a request must not be sent, or None."""
        at_s = now_s()
        fingerprint = _fingerprint(request)
        if self.hold.evaluate(fingerprint, at_s) is Suspicion.HELD:
            self._log_held(RequestHeld(request.id, "request", fingerprint, -1, -1))
            return HELD_REASON
        held = self.suspects.find_held(_digests(request), at_s)
        if held is not None:
            part = held.part.hex()
            self._log_held(RequestHeld(request.id, "part", part, held.crashes, held.own_crashes))
            return HELD_REASON
        return None

    def record_sent(self, request: DirectRequest) -> None:
        """Count a request that is sent to an upstream."""
        self.suspects.record_sent(_digests(request))

    def record_result(
        self, request: DirectRequest, upstream: DirectUpstream, result: AttemptResult
    ) -> bool:
        """Take in how an attempt ended; return whether its upstream is down."""
        if result.end is AttemptEnd.ANSWERED and result.is_framed:
            if 200 <= result.status < 300:
                self._record_complete(request)
            return False
        if result.end is AttemptEnd.ANSWERED:
            # A crash may end the connection in the same way.
            if 200 <= result.status < 300 and _digests(request):
                self._probe_late(request, upstream, _Cut.UNFRAMED)
            return False
        if not result.was_reset or result.end is AttemptEnd.CONNECT_FAILED:
            return False
        # Only an answer that had begun shows that the request was more than queued.
        has_begun = result.end is AttemptEnd.ANSWER_CUT
        cut = _Cut.BEGUN if has_begun else _Cut.WITHOUT_HEAD
        probe = _probe(upstream.address)
        if probe is not _Probe.REFUSED:
            self._probe_late(request, upstream, cut)
        if probe is _Probe.LISTENING:
            return False
        self._count_request(request, upstream)
        if probe is _Probe.REFUSED and has_begun:
            self._record_crash(request, upstream)
        self.on_news()
        return True

    def apply_reported_counts(self, reported: tuple[EntryCrashCount, ...], at_s: float) -> None:
        """Add the crash counts that another entry knows."""
        if self.hold.merge(reported, at_s):
            self.on_news()

    def apply_reported(self, reported: tuple[PartEvidence, ...], at_s: float) -> None:
        """Add what another entry knows."""
        held_before = self.suspects.held_parts
        is_news = self.suspects.merge(reported, at_s)
        self._log_changes(held_before)
        if is_news:
            self.on_news()

    def _count_request(self, request: DirectRequest, upstream: DirectUpstream) -> None:
        incarnation = digest_upstream(upstream.id, upstream.started_ms)
        self.hold.record_crash(_fingerprint(request), now_s(), incarnation)

    def _record_crash(self, request: DirectRequest, upstream: DirectUpstream) -> None:
        digests = _digests(request)
        held_before = self.suspects.held_parts
        incarnation = digest_upstream(upstream.id, upstream.started_ms)
        is_news = self.suspects.record_crash(digests, incarnation, now_s())
        self.crashes_counted += 1
        parts = ",".join(digest.hex() for digest in digests)
        log_event(
            _logger,
            CrashCounted(request.id, upstream.id, upstream.started_ms, parts, is_news),
        )
        self._log_changes(held_before)

    def _probe_late(self, request: DirectRequest, upstream: DirectUpstream, cut: _Cut) -> None:
        waiting = self._probed_late.get(upstream.id)
        if waiting is not None:
            waiting.append((request, cut))
            return
        self._probed_late[upstream.id] = [(request, cut)]
        eventlet.spawn(self._run_late_probes, upstream)

    def _run_late_probes(self, upstream: DirectUpstream) -> None:
        probe = _Probe.LISTENING
        for wait_s in LATE_PROBES_S:
            eventlet.sleep(wait_s)
            probe = _probe(upstream.address)
            if probe is _Probe.REFUSED:
                break
        requests = self._probed_late.pop(upstream.id)
        if probe is _Probe.REFUSED:
            for request, cut in requests:
                self._count_request(request, upstream)
                if cut is not _Cut.WITHOUT_HEAD:
                    self._record_crash(request, upstream)
            self.on_news()
        elif probe is _Probe.LISTENING:
            for request, cut in requests:
                if cut is _Cut.UNFRAMED:
                    self._record_complete(request)

    def _record_complete(self, request: DirectRequest) -> None:
        held_before = self.suspects.held_parts
        self.suspects.record_complete(_digests(request), now_s())
        self._log_changes(held_before)

    def _log_held(self, event: RequestHeld) -> None:
        self.requests_held += 1
        log_event(_logger, event)

    def _log_changes(self, held_before: frozenset[bytes]) -> None:
        held = self.suspects.held_parts
        for part in held - held_before:
            described = self.suspects.find_held((part,), now_s())
            if described is not None:
                log_event(_logger, PartHeld(part.hex(), described.crashes, described.own_crashes))
        for part in held_before - held:
            log_event(_logger, PartReleased(part.hex()))


def _probe(address: str) -> _Probe:
    exchange = DirectExchange(address, now_s() + PROBE_TIMEOUT_S)
    try:
        exchange.connect()
    except AttemptFailed as failure:
        is_refused = isinstance(failure.__cause__, ConnectionRefusedError)
        return _Probe.REFUSED if is_refused else _Probe.SILENT
    exchange.close()
    return _Probe.LISTENING


def _digests(request: DirectRequest) -> tuple[bytes, ...]:
    if request.prompt is None:
        return ()
    return tuple(digest_part(request.prompt.model, part) for part in request.prompt.shared_parts)


def _fingerprint(request: DirectRequest) -> str:
    identity = f"{request.api_key}/{request.host}/{request.target}\x00".encode()
    return hashlib.blake2b(identity + request.body, digest_size=12).hexdigest()
