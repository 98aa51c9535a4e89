"""Run the attempts of one request and forward one upstream response to the caller."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from attrs import define, field, frozen

from daisystack.backends import RequestDialect
from daisystack.core.direct_request import DirectAnswer, DirectRequest
from daisystack.core.event_stream import EventSplitter, StreamEvent
from daisystack.core.held_bytes import HeldBytes, Holding
from daisystack.core.placement import DirectUpstream, SentRequest
from daisystack.core.traffic import RequestKind, Route, Workspace
from daisystack.core.verdicts import AttemptEnd
from daisystack.runtime.attempt_guard import AttemptGuard
from daisystack.runtime.caller_http import Responder
from daisystack.runtime.clock import now_s
from daisystack.runtime.direct_http import MAX_BODY_BYTES, DirectExchange
from daisystack.runtime.upstream_http import AttemptFailed

__all__ = ["AttemptResult", "AttemptRunner"]

FIRST_SERVER_ERROR = 500
# The parts of usual events are not counted, so that no stream is cut for what another one holds.
USUAL_EVENT_BYTES = 4096


@frozen
class AttemptResult:
    """Result of one attempt: where it ended, why, the HTTP status and whether TCP was reset."""

    end: AttemptEnd
    reason: str = ""
    status: int = 0
    was_reset: bool = False
    # False if the end of the connection was the answer's only end.
    is_framed: bool = True


@frozen
class _FailedAnswer:
    """Hold an upstream's error response, which is forwarded if no other attempt succeeds."""

    answer: DirectAnswer
    body: bytes


@define(eq=False)
class AttemptRunner:
    """Run one attempt after another and relay a single response to the caller.

    A stream that breaks off is resumed by the next attempt after the last forwarded event.
    """

    dialect: RequestDialect
    request: DirectRequest
    route: Route
    responder: Responder
    deadline_s: float
    status: int = 0
    failed_answer: _FailedAnswer | None = None
    exact_version: int | None = None
    held: HeldBytes = field(factory=HeldBytes)
    first_event_sent_s: float | None = None
    # Of failed_answer, which outlasts its attempt.
    _failed_holding: Holding = field(init=False)
    _sent: SentRequest | None = None
    _on_answer: Callable[[DirectAnswer], None] = lambda answer: None
    _last_event_id: bytes | None = None
    _last_event_number: int | None = None

    def __attrs_post_init__(self) -> None:
        self._failed_holding = Holding(self.held)

    @property
    def has_started(self) -> bool:
        """Return whether any part of a response has been sent to the caller."""
        return self.responder.has_started

    def release(self) -> None:
        """Give back the bytes that are held for the request."""
        self._failed_holding.release()

    def run(
        self,
        upstream: DirectUpstream,
        workspace: Workspace | None,
        priority: int | None,
        run_until_s: float,
        guard: AttemptGuard,
        on_answer: Callable[[DirectAnswer], None],
    ) -> AttemptResult:
        """Send the request to an upstream and relay the response.

        The upstream gets run_until_s as its deadline if that is earlier than the request's own.
        The guard may end the attempt before it is sent and while it waits. on_answer gets the head
        of the response, before any of it reaches the caller.
        """
        self._sent = guard.sent
        self._on_answer = on_answer
        exchange = DirectExchange(upstream.address, self.deadline_s, guard.check_wait)
        try:
            exchange.connect()
            exchange.check_silent()
            guard.check_send()
            self._send(exchange, upstream, workspace, priority, run_until_s)
            return self._receive_answer(exchange)
        except AttemptFailed as failure:
            return AttemptResult(failure.end, failure.reason, 0, exchange.was_reset)
        finally:
            exchange.close()

    def forward_failure(self) -> None:
        """Forward the error response of the last upstream that sent one."""
        failed = self.failed_answer
        self.status = failed.answer.status
        self.responder.send_answer(failed.answer.status, list(failed.answer.headers), failed.body)

    def _send(
        self,
        exchange: DirectExchange,
        upstream: DirectUpstream,
        workspace: Workspace | None,
        priority: int | None,
        run_until_s: float,
    ) -> None:
        headers = self.dialect.write_request(
            self.request,
            upstream,
            workspace.name if workspace else None,
            min(self.deadline_s, run_until_s) - now_s(),
            priority,
            self.exact_version,
            self._last_event_id.decode("latin-1") if self._last_event_id else None,
        )
        exchange.send(self.request.method, self.request.target, headers, self.request.body)

    def _receive_answer(self, exchange: DirectExchange) -> AttemptResult:
        head = exchange.read_head()
        answer = self.dialect.read_answer(head.status, head.headers)
        self._on_answer(answer)
        # An upstream may refuse a request without its id, but not with that of another one.
        if answer.was_not_run and answer.request_id in (None, self.request.id):
            return AttemptResult(
                AttemptEnd.REFUSED_AT_GATE,
                f"upstream said {head.status}",
                head.status,
            )
        if answer.request_id != self.request.id:
            raise AttemptFailed(AttemptEnd.ANSWER_FOREIGN, "answer names another request")
        if answer.is_encoded or not answer.is_genuine:
            raise AttemptFailed(AttemptEnd.ANSWER_FOREIGN, "answer is not the upstream's own")
        if self.route.kind is RequestKind.STREAM and answer.is_stream and _is_success(answer):
            return self._forward_stream(exchange, answer, head.is_framed)
        return self._forward_buffered(exchange, answer, head.is_framed)

    def _forward_buffered(
        self, exchange: DirectExchange, answer: DirectAnswer, is_framed: bool
    ) -> AttemptResult:
        # Its upstream has begun; a stream shows that by its first event.
        self._sent.record_received(now_s())
        holding = Holding(self.held)
        try:
            return self._forward_held(exchange, answer, is_framed, holding)
        finally:
            holding.release()

    def _forward_held(
        self, exchange: DirectExchange, answer: DirectAnswer, is_framed: bool, holding: Holding
    ) -> AttemptResult:
        """Forward an answer once it is complete, or part by part if it can't be held."""
        is_failure = answer.status >= FIRST_SERVER_ERROR or self.has_started
        parts = exchange.iter_body(MAX_BODY_BYTES)
        body = bytearray()
        for data in parts:
            if not holding.try_grow(len(data)):
                if is_failure:
                    raise AttemptFailed(AttemptEnd.ANSWER_CUT, "too many bytes are held")
                rest = chain(_give_back(body, holding), (data,), parts)
                return self._forward_parts(answer, is_framed, rest)
            body += data
        if is_failure:
            return self._keep_failure(answer, bytes(body), holding)
        return self._forward_whole(answer, is_framed, bytes(body))

    def _forward_parts(
        self, answer: DirectAnswer, is_framed: bool, parts: Iterable[bytes]
    ) -> AttemptResult:
        # A body of unknown length that ends early lacks its last chunk.
        self.status = answer.status
        self.responder.send_head(answer.status, list(answer.headers))
        for data in parts:
            if data:
                self.responder.send_data(data)
        self.responder.finish()
        return AttemptResult(AttemptEnd.ANSWERED, "", answer.status, is_framed=is_framed)

    def _keep_failure(self, answer: DirectAnswer, body: bytes, holding: Holding) -> AttemptResult:
        self.failed_answer = _FailedAnswer(answer, body)
        holding.move_to(self._failed_holding)
        reason = f"upstream returned status {answer.status}"
        return AttemptResult(AttemptEnd.ANSWER_CUT, reason, answer.status)

    def _forward_whole(self, answer: DirectAnswer, is_framed: bool, body: bytes) -> AttemptResult:
        self.status = answer.status
        self.responder.send_answer(answer.status, list(answer.headers), body)
        return AttemptResult(AttemptEnd.ANSWERED, "", answer.status, is_framed=is_framed)

    def _forward_stream(
        self, exchange: DirectExchange, answer: DirectAnswer, is_framed: bool
    ) -> AttemptResult:
        partial = Holding(self.held)
        try:
            return self._forward_events(exchange, answer, is_framed, partial)
        finally:
            partial.release()

    def _forward_events(
        self, exchange: DirectExchange, answer: DirectAnswer, is_framed: bool, partial: Holding
    ) -> AttemptResult:
        """Forward a stream event by event; partial holds the bytes of one that isn't complete."""
        if self.exact_version is not None and answer.version != self.exact_version:
            raise AttemptFailed(
                AttemptEnd.ANSWER_MIXED,
                "response is from another weight version than the first part",
            )
        event_count = 0
        for event in self._iter_events(exchange, partial):
            if not event.is_valid:
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "text that is no event")
            event_count += 1
            self._sent.record_received(now_s())
            if self._is_duplicate(event):
                continue
            self._start_answer(answer)
            self.responder.send_data(event.body)
            if event.id is not None:
                self._last_event_id = event.id
                self._last_event_number = event.number
        if not event_count and not is_framed:
            # The end of the connection alone doesn't show that nothing was to follow.
            raise AttemptFailed(AttemptEnd.ANSWER_CUT, "stream ended before its first event")
        self._start_answer(answer)
        self.responder.finish()
        return AttemptResult(AttemptEnd.ANSWERED, "", answer.status, is_framed=is_framed)

    def _iter_events(self, exchange: DirectExchange, partial: Holding) -> Iterator[StreamEvent]:
        splitter = EventSplitter()
        for data in exchange.iter_body():
            try:
                yield from splitter.feed(data)
            except ValueError as error:
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, str(error)) from error
            counted_bytes = max(0, splitter.partial_bytes - USUAL_EVENT_BYTES)
            if not partial.try_resize(counted_bytes):
                raise AttemptFailed(AttemptEnd.ANSWER_CUT, "too many bytes are held")
        if splitter.partial_bytes:
            raise AttemptFailed(AttemptEnd.ANSWER_CUT, "stream ended within an event")

    def _start_answer(self, answer: DirectAnswer) -> None:
        if self.has_started:
            return
        self.first_event_sent_s = now_s()
        self.status = answer.status
        # A resumed stream must come from the same weights as the part already sent.
        self.exact_version = answer.version
        self.responder.send_head(answer.status, list(answer.headers))

    def _is_duplicate(self, event: StreamEvent) -> bool:
        if event.number is None or self._last_event_number is None:
            return False
        return event.number <= self._last_event_number


def _give_back(body: bytearray, holding: Holding) -> Iterator[bytes]:
    """Yield what is held of a body, and hold it no longer once it was passed on."""
    yield bytes(body)
    body.clear()
    holding.release()


def _is_success(answer: DirectAnswer) -> bool:
    return 200 <= answer.status < 300
