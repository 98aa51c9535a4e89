"""Handle callers' requests: send attempts to upstreams, retry, and answer with a verdict."""

from __future__ import annotations

import hashlib
import logging
from collections.abc import Callable, Generator

import eventlet
from attrs import define, evolve, field, frozen

from daisystack.core.admission import WorkspaceLimits
from daisystack.core.crash_hold import CrashHold, Suspicion
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
from daisystack.core.verdicts import AttemptEnd, Verdict, classify_attempt
from daisystack.runtime import headers
from daisystack.runtime.caller_request import CallerRequest, parse_request
from daisystack.runtime.caller_responses import (
    answer_headers,
    error_event,
    failure_response,
    parse_reported_outcome,
)
from daisystack.runtime.clock import now_s
from daisystack.runtime.events import RequestEnded
from daisystack.runtime.logs import log_event
from daisystack.runtime.stall_detector import StallDetector, query_ticket_state
from daisystack.runtime.upstream_http import AttemptFailed, UpstreamAnswer
from daisystack.runtime.upstreams import UpstreamAssignment, UpstreamRequirements, Upstreams
from daisystack.runtime.waiting_queues import NotAdmitted, WaitingQueues
from daisystack.runtime.web import Request, Response, StreamBody

__all__ = ["EntryRequests"]

MAX_BUFFERED_ANSWER_BYTES = 8_000_000
NO_CONFIG = GiveUp(Verdict.NOT_RUN, AttemptEnd.NO_UPSTREAM, "no configuration is in force yet", 1.0)
CLOSED = GiveUp(Verdict.NOT_RUN, AttemptEnd.NO_UPSTREAM, "this entry has left", 0.1)

_logger = logging.getLogger("daisystack.requests")


@frozen
class _AttemptResult:
    """Hold an attempt's outcome and, if it was answered, the response for the caller."""

    outcome: AttemptOutcome
    response: Response | None = None


@define(eq=False)
class EntryRequests:
    """Handle the requests of one entry and count those in flight, ended and retried."""

    settings: EntrySettings
    upstreams: Upstreams
    retry_budget: RetryBudget
    waiting_queues: WaitingQueues
    on_held: Callable[[str], None]
    hold: CrashHold = field(factory=CrashHold)
    # Whether new requests are refused, as this process is about to end.
    is_closed: Callable[[], bool] = lambda: False
    in_flight: int = 0
    ended_counts: dict[tuple[str, str], int] = field(factory=dict)
    retries: int = 0

    def handle(self, request: Request, subpath: str, kind: str) -> Response:
        """Return the response to a caller's request; raise BadRequest if it is invalid."""
        if self.is_closed():
            return failure_response(CLOSED, "")
        document = self.upstreams.document
        if document is None:
            return failure_response(NO_CONFIG, "")
        caller_request = parse_request(request, subpath, kind, document, self.settings, now_s())
        self.in_flight += 1
        self.retry_budget.credit()
        state = RequestState(
            caller_request.repeatable, caller_request.deadline_s, caller_request.ticket
        )
        try:
            response = self._run(caller_request, state, document)
        except BaseException:
            self.in_flight -= 1
            raise
        if not isinstance(response.body, StreamBody):
            self.in_flight -= 1
        return response

    def _run(self, request: CallerRequest, state: RequestState, document: SiteDocument) -> Response:
        assignment: UpstreamAssignment | None = None
        while True:
            if assignment is None:
                try:
                    assignment = self._assign(request, state, document)
                except NotAdmitted as rejection:
                    return self._reject(request, state, rejection)
            result = self._attempt(request, assignment)
            step = state.next_step(result.outcome, self.retry_budget, now_s())
            if isinstance(step, Done):
                return self._finish(request, state, result.response)
            if isinstance(step, GiveUp):
                return self._give_up(request, state, step)
            self.retries += 1
            if isinstance(step, RetrySameOwner):
                eventlet.sleep(step.pause_s)
                self.upstreams.count_retry(assignment)
            else:
                assignment = None

    def _assign(
        self, request: CallerRequest, state: RequestState, document: SiteDocument
    ) -> UpstreamAssignment:
        suspicion = self.hold.evaluate(_fingerprint(request), now_s())
        if suspicion is Suspicion.HELD:
            raise NotAdmitted(AttemptEnd.HELD, "it crashed the upstreams that ran it", 0.0)
        if request.ticket is not None:
            assignment = self.upstreams.assign_to_owner(document, request.ticket)
            if assignment is None:
                raise NotAdmitted(AttemptEnd.NO_UPSTREAM, "the ticket's owner is not listed", 1.0)
            return assignment
        if not self.upstreams.has_upstreams(document, request.target, state.tried_upstreams()):
            raise NotAdmitted(AttemptEnd.NO_UPSTREAM, "no upstream is left for it", 1.0)
        requirements = UpstreamRequirements(
            target=request.target,
            time_left_s=request.deadline_s - now_s(),
            prefix=request.prefix,
            is_suspect=suspicion is Suspicion.SUSPECT,
            excluded=state.tried_upstreams(),
        )
        workspace = document.workspaces[request.workspace]
        limits = WorkspaceLimits(workspace.name, workspace.priority, workspace.share)
        return self.waiting_queues.admit(
            request.target,
            limits,
            request.deadline_s,
            lambda: self.upstreams.assign(document, requirements),
        )

    def _reject(
        self, request: CallerRequest, state: RequestState, rejection: NotAdmitted
    ) -> Response:
        outcome = AttemptOutcome(rejection.end, reason=rejection.reason)
        state.outcomes.append(outcome)
        step = state.give_up(outcome)
        if step.retry_after_s is not None:
            step = evolve(step, retry_after_s=rejection.retry_after_s)
        return self._give_up(request, state, step)

    def _attempt(self, request: CallerRequest, assignment: UpstreamAssignment) -> _AttemptResult:
        streaming = False
        try:
            result = self._send(request, assignment)
            body = result.response.body if result.response else None
            streaming = isinstance(body, StreamBody)
        except AttemptFailed as failure:
            result = _AttemptResult(self._handle_failure(assignment, failure))
        finally:
            if not streaming:
                self._release(request, assignment)
        if result.outcome.crashed:
            self._record_crash(request)
        return result

    def _record_crash(self, request: CallerRequest) -> None:
        fingerprint = _fingerprint(request)
        crashes = self.hold.record_crash(fingerprint, now_s())
        if self.hold.evaluate(fingerprint, now_s()) is Suspicion.HELD:
            self.on_held(f"request {fingerprint} of {request.workspace}, {crashes} deaths")

    def _send(self, request: CallerRequest, assignment: UpstreamAssignment) -> _AttemptResult:
        time_left_s = request.deadline_s - now_s()
        request_headers = {
            headers.TICKET: str(assignment.ticket),
            headers.REPEATABLE: "yes" if request.repeatable else "no",
            headers.TIME_LEFT: f"{max(0.0, time_left_s):.3f}",
            headers.SUSPECT: "yes" if assignment.is_suspect else "no",
            "Content-Type": request.content_type,
        }
        if request.target.model is not None:
            request_headers[headers.MODEL] = request.target.model
        client = self.upstreams.client_for(assignment.instance)
        peer_address = assignment.instance.peer_address
        is_stuck = (lambda: self.upstreams.is_stuck(assignment)) if request.repeatable else None
        with StallDetector(peer_address, assignment.ticket, is_stuck):
            answer = client.send(
                f"/v1/forward{request.path}", request.body, request_headers, time_left_s
            )
        return self._handle_answer(request, assignment, answer)

    def _handle_failure(
        self, assignment: UpstreamAssignment, failure: AttemptFailed
    ) -> AttemptOutcome:
        instance_id = assignment.instance.id
        if classify_attempt(failure.end) is Verdict.NOT_RUN:
            sealed = failure.end is AttemptEnd.NEVER_ARRIVED
            if sealed:
                self.upstreams.drop_connections(assignment.instance)
            else:
                self.upstreams.mark_unreachable(assignment)
            return AttemptOutcome(failure.end, instance_id, sealed, reason=failure.reason)
        self.upstreams.drop_connections(assignment.instance)
        ticket_state = query_ticket_state(assignment.instance.peer_address, assignment.ticket)
        crashed = ticket_state is not None and ticket_state.crashed
        return AttemptOutcome(failure.end, instance_id, reason=failure.reason, crashed=crashed)

    def _handle_answer(
        self, request: CallerRequest, assignment: UpstreamAssignment, answer: UpstreamAnswer
    ) -> _AttemptResult:
        instance_id = assignment.instance.id
        end = answer.header(headers.ATTEMPT_END)
        ticket = answer.header(headers.TICKET)
        # Agents of an earlier release name no ticket where they report an end.
        if end is not None and ticket in (None, str(assignment.ticket)):
            outcome = parse_reported_outcome(instance_id, end, answer)
            if outcome.is_leaving:
                self.upstreams.mark_unreachable(assignment)
            return _AttemptResult(outcome)
        if ticket != str(assignment.ticket):
            answer.abandon()
            raise AttemptFailed(AttemptEnd.ANSWER_FOREIGN, "answer names another ticket")
        self.upstreams.record_reported_load(assignment, answer.header(headers.IN_FLIGHT))
        response_headers = answer_headers(request.request_id, instance_id, answer)
        outcome = AttemptOutcome(AttemptEnd.ANSWERED, instance_id)
        if not answer.is_stream:
            complete_body = answer.read_body(MAX_BUFFERED_ANSWER_BYTES)
            self.upstreams.record_answered(assignment)
            return _AttemptResult(
                outcome,
                Response(
                    answer.status,
                    complete_body,
                    answer.content_type,
                    response_headers,
                    answer.release,
                ),
            )
        data_iter = answer.iter_body()
        # Until the first data arrives, nothing has reached the caller and a retry is possible.
        first = next(data_iter, b"")
        self.upstreams.record_answered(assignment)

        def abort() -> None:
            answer.abandon()
            self._stream_ended(request, assignment, AttemptEnd.CALLER_GONE)

        body = StreamBody(self._relay_stream(request, assignment, answer, first, data_iter), abort)
        return _AttemptResult(
            outcome, Response(answer.status, body, answer.content_type, response_headers)
        )

    def _relay_stream(
        self,
        request: CallerRequest,
        assignment: UpstreamAssignment,
        answer: UpstreamAnswer,
        first: bytes,
        data_iter: Generator[bytes],
    ) -> Generator[bytes]:
        end = AttemptEnd.CALLER_GONE
        try:
            if first:
                yield first
            yield from data_iter
            end = AttemptEnd.ANSWERED
        except AttemptFailed as failure:
            end = failure.end
            if self._handle_failure(assignment, failure).crashed:
                self._record_crash(request)
            yield error_event(Verdict.MAY_HAVE_RUN, failure.reason)
            # Without the terminating HTTP chunk the caller sees that the answer is incomplete.
            raise
        finally:
            if end is not AttemptEnd.ANSWERED:
                answer.abandon()
            self._stream_ended(request, assignment, end)

    def _stream_ended(
        self, request: CallerRequest, assignment: UpstreamAssignment, end: AttemptEnd
    ) -> None:
        self.in_flight -= 1
        self._release(request, assignment)
        verdict = Verdict.RAN if end is AttemptEnd.ANSWERED else Verdict.MAY_HAVE_RUN
        self._record_end(request, verdict, end, 1)

    def _release(self, request: CallerRequest, assignment: UpstreamAssignment) -> None:
        self.upstreams.release(assignment)
        self.waiting_queues.record_ended(request.target)

    def _finish(self, request: CallerRequest, state: RequestState, response: Response) -> Response:
        if not isinstance(response.body, StreamBody):
            self._record_end(request, Verdict.RAN, AttemptEnd.ANSWERED, len(state.outcomes))
        return response

    def _give_up(self, request: CallerRequest, state: RequestState, step: GiveUp) -> Response:
        self._record_end(request, step.verdict, step.end, len(state.outcomes))
        return failure_response(step, request.request_id)

    def _record_end(
        self, request: CallerRequest, verdict: Verdict, end: AttemptEnd, attempts: int
    ) -> None:
        key = (verdict.value, end.value)
        self.ended_counts[key] = self.ended_counts.get(key, 0) + 1
        event = RequestEnded(
            request.request_id,
            request.workspace,
            request.target.model or request.target.pool or "",
            verdict.value,
            end.value,
            attempts,
            now_s() - request.started_s,
        )
        log_event(_logger, event)


def _fingerprint(request: CallerRequest) -> str:
    identity = f"{request.workspace}/{request.target}/{request.path}\x00".encode()
    return hashlib.blake2b(identity + request.body, digest_size=12).hexdigest()
