"""Take callers' requests, send attempts to upstreams, and answer with a verdict."""

from __future__ import annotations

import json
import logging
import math
from collections.abc import Generator

import eventlet
from attrs import define, field, frozen

from daisystack.core.register import SiteDocument
from daisystack.core.requests import (
    AttemptOutcome,
    Done,
    GiveUp,
    RequestState,
    RetrySameOwner,
)
from daisystack.core.retries import RetryBudget
from daisystack.core.settings import EntrySettings
from daisystack.core.verdicts import AttemptEnd, Verdict
from daisystack.runtime import headers
from daisystack.runtime.caller_request import CallerRequest, parse_request
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import RequestEnded
from daisystack.runtime.logs import log_event
from daisystack.runtime.upstream_http import AttemptFailed, UpstreamAnswer
from daisystack.runtime.upstreams import Chosen, Upstreams
from daisystack.runtime.web import Request, Response, StreamBody, json_response

__all__ = ["EntryRequests"]

MAX_PLAIN_ANSWER_BYTES = 8_000_000
NO_CONFIG = "no configuration is in force yet"

_logger = logging.getLogger("daisystack.requests")


@frozen
class _Attempted:
    """Hold an attempt's outcome and, when it was answered, the response to pass on."""

    outcome: AttemptOutcome
    response: Response | None = None


@define(eq=False)
class EntryRequests:
    """Own the requests in progress at one entry."""

    settings: EntrySettings
    upstreams: Upstreams
    budget: RetryBudget
    in_flight: int = 0
    ended: dict[tuple[str, str], int] = field(factory=dict)
    retries: int = 0

    def handle(self, request: Request, rest: str, kind: str) -> Response:
        """Answer one request of a caller."""
        document = self.upstreams.document
        if document is None:
            return _failure(GiveUp(Verdict.NOT_RUN, AttemptEnd.NO_UPSTREAM, NO_CONFIG, 1.0), "")
        caller = parse_request(request, rest, kind, document, self.settings, now_s())
        self.in_flight += 1
        self.budget.earn()
        state = RequestState(caller.repeatable, caller.deadline_s, caller.ticket)
        try:
            response = self._run(caller, state, document)
        except BaseException:
            self.in_flight -= 1
            raise
        if not isinstance(response.body, StreamBody):
            self.in_flight -= 1
        return response

    def _run(self, caller: CallerRequest, state: RequestState, document: SiteDocument) -> Response:
        chosen = self._choose(caller, state, document)
        while True:
            if chosen is None:
                end = AttemptEnd.NO_UPSTREAM
                outcome = AttemptOutcome(end, reason="no upstream takes it now")
                state.outcomes.append(outcome)
                return self._give_up(caller, state, state.give_up(outcome))
            attempted = self._attempt(caller, chosen, state)
            step = state.after(attempted.outcome, self.budget, now_s())
            if isinstance(step, Done):
                return self._pass_on(caller, state, attempted.response)
            if isinstance(step, GiveUp):
                return self._give_up(caller, state, step)
            self.retries += 1
            if isinstance(step, RetrySameOwner):
                eventlet.sleep(step.pause_s)
            else:
                chosen = self._choose(caller, state, document)

    def _choose(
        self, caller: CallerRequest, state: RequestState, document: SiteDocument
    ) -> Chosen | None:
        if caller.ticket is not None:
            return self.upstreams.owner(document, caller.ticket)
        tried = {outcome.instance_id for outcome in state.outcomes}
        left_s = caller.deadline_s - now_s()
        return self.upstreams.choose(document, caller.target, caller.prefix, tried, left_s)

    def _attempt(self, caller: CallerRequest, chosen: Chosen, state: RequestState) -> _Attempted:
        instance_id = chosen.instance.id
        sent = {
            headers.TICKET: str(chosen.ticket),
            headers.REPEATABLE: "yes" if caller.repeatable else "no",
            headers.DEADLINE: f"{max(0.0, caller.deadline_s - now_s()):.3f}",
            "Content-Type": caller.content_type,
        }
        if caller.target.model is not None:
            sent[headers.MODEL] = caller.target.model
        self.upstreams.in_flight.begin(instance_id)
        streaming = False
        try:
            left_s = caller.deadline_s - now_s()
            http = self.upstreams.http(chosen.instance)
            answer = http.send(f"/v1/forward{caller.path}", caller.body, sent, left_s)
            attempted = self._take(caller, chosen, answer)
            streaming = attempted.response is not None and answer.is_stream
            return attempted
        except AttemptFailed as failure:
            return _Attempted(AttemptOutcome(failure.end, instance_id, reason=failure.reason))
        finally:
            if not streaming:
                self.upstreams.in_flight.end(instance_id)

    def _take(self, caller: CallerRequest, chosen: Chosen, answer: UpstreamAnswer) -> _Attempted:
        instance_id = chosen.instance.id
        end = answer.header(headers.ATTEMPT_END)
        if end is not None:
            return _Attempted(_reported(instance_id, AttemptEnd(end), answer))
        if answer.header(headers.TICKET) != str(chosen.ticket):
            answer.abandon()
            raise AttemptFailed(AttemptEnd.ANSWER_FOREIGN, "answer names another ticket")
        marks = _marks(caller, instance_id, answer)
        outcome = AttemptOutcome(AttemptEnd.ANSWERED, instance_id)
        if not answer.is_stream:
            body = answer.read_whole(MAX_PLAIN_ANSWER_BYTES)
            return _Attempted(outcome, Response(answer.status, body, answer.content_type, marks))
        pieces = answer.pieces()
        # Until the first piece is here nothing has reached the caller and a retry is possible.
        first = next(pieces, b"")
        body = self._stream(caller, instance_id, answer, first, pieces)

        def abort() -> None:
            answer.abandon()
            self._stream_ended(caller, instance_id, AttemptEnd.CALLER_GONE)

        response = Response(answer.status, StreamBody(body, abort), answer.content_type, marks)
        return _Attempted(outcome, response)

    def _stream(
        self,
        caller: CallerRequest,
        instance_id: str,
        answer: UpstreamAnswer,
        first: bytes,
        pieces: Generator[bytes],
    ) -> Generator[bytes]:
        end = AttemptEnd.CALLER_GONE
        try:
            if first:
                yield first
            yield from pieces
            end = AttemptEnd.ANSWERED
        except AttemptFailed as failure:
            end = failure.end
            yield _error_event(Verdict.MAY_HAVE_RUN, failure.reason)
            # The missing last chunk tells the caller that the answer is not whole.
            raise
        finally:
            if end is not AttemptEnd.ANSWERED:
                answer.abandon()
            self._stream_ended(caller, instance_id, end)

    def _stream_ended(self, caller: CallerRequest, instance_id: str, end: AttemptEnd) -> None:
        self.in_flight -= 1
        self.upstreams.in_flight.end(instance_id)
        verdict = Verdict.RAN if end is AttemptEnd.ANSWERED else Verdict.MAY_HAVE_RUN
        self._log(caller, verdict, end, 1)

    def _pass_on(self, caller: CallerRequest, state: RequestState, response: Response) -> Response:
        if not isinstance(response.body, StreamBody):
            self._log(caller, Verdict.RAN, AttemptEnd.ANSWERED, len(state.outcomes))
        return response

    def _give_up(self, caller: CallerRequest, state: RequestState, step: GiveUp) -> Response:
        self._log(caller, step.verdict, step.end, len(state.outcomes))
        return _failure(step, caller.request_id)

    def _log(self, caller: CallerRequest, verdict: Verdict, end: AttemptEnd, attempts: int) -> None:
        key = (verdict.value, end.value)
        self.ended[key] = self.ended.get(key, 0) + 1
        took_s = now_s() - caller.begun_s
        event = RequestEnded(
            caller.request_id,
            caller.workspace,
            caller.target.model or caller.target.pool or "",
            verdict.value,
            end.value,
            attempts,
            took_s,
        )
        log_event(_logger, event)


def _reported(instance_id: str, end: AttemptEnd, answer: UpstreamAnswer) -> AttemptOutcome:
    body = answer.read_whole(MAX_PLAIN_ANSWER_BYTES)
    try:
        reason = json.loads(body).get("error", "")
    except (ValueError, AttributeError):
        reason = ""
    return AttemptOutcome(
        end=end,
        instance_id=instance_id,
        sealed=answer.header(headers.SEALED) == "yes",
        reported=Verdict(answer.header(headers.VERDICT)),
        reason=reason,
    )


def _marks(
    caller: CallerRequest, instance_id: str, answer: UpstreamAnswer
) -> tuple[tuple[str, str], ...]:
    marks = [
        (headers.VERDICT, Verdict.RAN.value),
        (headers.REQUEST_ID, caller.request_id),
        (headers.SERVED_BY, instance_id),
    ]
    serving = answer.header(headers.SERVING)
    if serving is not None:
        marks.append((headers.SERVING, serving))
    return tuple(marks)


def _error_event(verdict: Verdict, reason: str) -> bytes:
    body = json.dumps({"verdict": verdict.value, "error": reason})
    return f"event: error\ndata: {body}\n\n".encode()


def _failure(step: GiveUp, request_id: str) -> Response:
    marks = [(headers.VERDICT, step.verdict.value), (headers.REQUEST_ID, request_id)]
    if step.retry_after_s is not None:
        marks.append((headers.RETRY_AFTER, str(math.ceil(step.retry_after_s))))
    body = {"verdict": step.verdict.value, "end": step.end.value, "error": step.reason}
    return json_response(_status(step), body, tuple(marks))


def _status(step: GiveUp) -> int:
    if step.verdict is not Verdict.NOT_RUN:
        return 502
    return 429 if step.end is AttemptEnd.SHED else 503
