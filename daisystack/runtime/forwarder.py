"""Forward an entry's requests to the upstream if the gate is open, each ticket at most once."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from attrs import define, evolve, field, frozen

from daisystack.core.crash_attribution import CrashAttribution
from daisystack.core.gate import EngineReport, GateReason
from daisystack.core.idempotency import (
    BeginRefused,
    IdempotencyTable,
    RecordedAnswer,
    Replay,
    SealOutcome,
)
from daisystack.core.settings import AgentSettings
from daisystack.core.tickets import Ticket, parse_ticket
from daisystack.core.verdicts import AttemptEnd, Verdict, classify_attempt
from daisystack.runtime import headers
from daisystack.runtime.clock import now_s
from daisystack.runtime.daemon import Daemon
from daisystack.runtime.engine_task import EngineTask
from daisystack.runtime.upstream_http import AttemptFailed, UpstreamAnswer, UpstreamClient
from daisystack.runtime.web import (
    BadRequest,
    Request,
    Response,
    StreamBody,
    json_response,
    read_body,
)

__all__ = ["Forwarder"]

DEFAULT_TIME_LEFT_S = 60.0
MAX_IN_FLIGHT_FACTOR = 2


@frozen
class _Attempt:
    ticket: Ticket
    repeatable: bool
    is_suspect: bool
    model: str | None
    path: str
    body: bytes
    content_type: str
    deadline_s: float


@define(eq=False)
class Forwarder:
    """Forward attempts to the upstream and record their outcomes in the idempotency table."""

    daemon: Daemon
    engine_task: EngineTask
    upstream: UpstreamClient
    table: IdempotencyTable
    settings: AgentSettings
    crash_attribution: CrashAttribution = field(factory=CrashAttribution)
    in_flight: int = 0
    runs: int = field(default=0)

    def handle(self, request: Request, subpath: str) -> Response:
        """Refuse, replay or run one attempt sent by an entry."""
        attempt = self._parse(request, subpath)
        response = self._respond(attempt)
        if any(name == headers.TICKET for name, _ in response.headers):
            return response
        return evolve(response, headers=(*response.headers, (headers.TICKET, str(attempt.ticket))))

    def _respond(self, attempt: _Attempt) -> Response:
        uptime_s = self.daemon.uptime_s(now_s())
        reason = self._refusal_reason(attempt)
        if reason is not None:
            is_leaving = self.engine_task.gate.reason is GateReason.LEAVING
            refused = self.table.refuse(attempt.ticket, reason, uptime_s)
            return _refusal_response(refused, is_leaving)
        digest = hashlib.sha256(attempt.path.encode() + b"\x00" + attempt.body).hexdigest()
        begin_result = self.table.begin(attempt.ticket, digest, uptime_s)
        if isinstance(begin_result, BeginRefused):
            return _refusal_response(begin_result)
        if isinstance(begin_result, Replay):
            return _replay_response(begin_result, attempt.ticket)
        return self._run(attempt)

    def is_crash_attributed(self, text: str) -> bool:
        """Return whether a crash is attributed to a ticket; raise ValueError if malformed."""
        return self.crash_attribution.is_attributed(parse_ticket(text))

    def seal(self, text: str) -> SealOutcome:
        """Seal a ticket for an entry that got no answer; raise ValueError if malformed."""
        return self.table.seal(parse_ticket(text), self.daemon.uptime_s(now_s()))

    def _parse(self, request: Request, subpath: str) -> _Attempt:
        body = read_body(request, self.settings.max_body_bytes)
        try:
            ticket = parse_ticket(request.header(headers.TICKET) or "")
            time_left_s = float(request.header(headers.TIME_LEFT) or DEFAULT_TIME_LEFT_S)
        except ValueError as error:
            raise BadRequest(str(error)) from error
        return _Attempt(
            ticket=ticket,
            repeatable=request.header(headers.REPEATABLE) == "yes",
            is_suspect=request.header(headers.SUSPECT) == "yes",
            model=request.header(headers.MODEL),
            path="/" + subpath,
            body=body,
            content_type=request.header("content-type") or "application/octet-stream",
            deadline_s=now_s() + time_left_s,
        )

    def _refusal_reason(self, attempt: _Attempt) -> str | None:
        self.engine_task.refresh_gate()
        gate = self.engine_task.gate
        if not gate.is_open:
            return f"gate closed: {gate.reason.value}"
        if attempt.model is not None:
            report = self.engine_task.report
            if report is None or all(ref.model != attempt.model for ref in report.serving):
                return f"model {attempt.model!r} is not served here"
        if self.in_flight >= MAX_IN_FLIGHT_FACTOR * self.settings.capacity:
            return "upstream is full"
        if attempt.is_suspect and self.crash_attribution.has_suspect:
            return "another suspect of a crash is running"
        if now_s() >= attempt.deadline_s:
            return "deadline has passed"
        return None

    def _run(self, attempt: _Attempt) -> Response:
        self.in_flight += 1
        self.runs += 1
        initial_report = self.engine_task.report
        self.crash_attribution.begin(
            attempt.ticket, initial_report.incarnation if initial_report else "", attempt.is_suspect
        )
        try:
            answer = self._send(attempt)
        except AttemptFailed as failure:
            response = self._failure_response(attempt, failure, initial_report)
            self._release(attempt)
            return response
        except BaseException:
            self._release(attempt)
            self._record_unknown(attempt)
            raise
        if answer.is_stream:
            return self._streamed_response(attempt, answer, initial_report)
        return self._buffered_response(attempt, answer, initial_report)

    def _send(self, attempt: _Attempt) -> UpstreamAnswer:
        request_headers = {
            "Content-Type": attempt.content_type,
            "Idempotency-Key": str(attempt.ticket),
        }
        time_left_s = attempt.deadline_s - now_s()
        return self.upstream.send(attempt.path, attempt.body, request_headers, time_left_s)

    def _buffered_response(
        self, attempt: _Attempt, answer: UpstreamAnswer, initial_report: EngineReport | None
    ) -> Response:
        try:
            body = answer.read_body(self.settings.max_answer_bytes)
            self._check_weights(initial_report)
        except AttemptFailed as failure:
            answer.release()
            return self._failure_response(attempt, failure, initial_report)
        finally:
            self._release(attempt)
        recorded = RecordedAnswer(answer.status, answer.content_type, body)
        self._record_answer(attempt, recorded)
        return Response(
            recorded.status,
            body,
            recorded.content_type,
            self._answer_headers(attempt, answer),
            answer.release,
        )

    def _streamed_response(
        self, attempt: _Attempt, answer: UpstreamAnswer, initial_report: EngineReport | None
    ) -> Response:
        def abort() -> None:
            answer.abandon()
            self._record_unknown(attempt)
            self._release(attempt)

        body = StreamBody(self._relay_stream(attempt, answer, initial_report), abort)
        return Response(
            answer.status, body, answer.content_type, self._answer_headers(attempt, answer)
        )

    def _relay_stream(
        self, attempt: _Attempt, answer: UpstreamAnswer, initial_report: EngineReport | None
    ) -> Iterator[bytes]:
        recorded_bytes = bytearray()
        max_recorded_bytes = 0 if attempt.repeatable else self.table.max_one_answer_bytes
        try:
            for data in answer.iter_body():
                if len(recorded_bytes) <= max_recorded_bytes:
                    recorded_bytes += data
                yield data
            self._check_weights(initial_report)
            self._record_answer(
                attempt, RecordedAnswer(answer.status, answer.content_type, bytes(recorded_bytes))
            )
        except BaseException as error:
            # Without the terminating HTTP chunk the entry sees that the answer is incomplete.
            answer.abandon()
            self._record_unknown(attempt)
            if isinstance(error, AttemptFailed):
                self._check_for_crash(initial_report)
            raise
        finally:
            self._release(attempt)

    def _answer_headers(
        self, attempt: _Attempt, answer: UpstreamAnswer
    ) -> tuple[tuple[str, str], ...]:
        response_headers = [
            (headers.VERDICT, Verdict.RAN.value),
            (headers.SERVED_BY, self.settings.id),
            (headers.TICKET, str(attempt.ticket)),
            (headers.IN_FLIGHT, str(self.in_flight)),
        ]
        serving = answer.header(headers.SERVING)
        if serving is not None:
            response_headers.append((headers.SERVING, serving))
        return tuple(response_headers)

    def _check_weights(self, initial_report: EngineReport | None) -> None:
        if not self.engine_task.intended_weights():
            return
        report = self.engine_task.read_report()
        if (
            report is None
            or initial_report is None
            or _weights_state(report) != _weights_state(initial_report)
        ):
            raise AttemptFailed(AttemptEnd.ANSWER_MIXED, "weights changed during the answer")

    def _release(self, attempt: _Attempt) -> None:
        self.in_flight -= 1
        self.crash_attribution.end(attempt.ticket)

    def _failure_response(
        self, attempt: _Attempt, failure: AttemptFailed, initial_report: EngineReport | None
    ) -> Response:
        verdict = classify_attempt(failure.end)
        if verdict is Verdict.NOT_RUN:
            self.table.finish_not_run(attempt.ticket)
            return _error_response(failure.end, verdict, True, failure.reason)
        self._record_unknown(attempt)
        self._check_for_crash(initial_report)
        crashed = self.crash_attribution.is_attributed(attempt.ticket)
        return _error_response(failure.end, verdict, False, failure.reason, crashed)

    def _check_for_crash(self, initial_report: EngineReport | None) -> None:
        """Attribute a crash to the running requests if their engine is down or has restarted."""
        report = self.engine_task.read_report()
        if initial_report is not None and (
            report is None or report.incarnation != initial_report.incarnation
        ):
            self.crash_attribution.record_crash(initial_report.incarnation)

    def _record_answer(self, attempt: _Attempt, answer: RecordedAnswer) -> None:
        # The ticket of a repeatable request is never resent, so its answer need not be recorded.
        self.table.finish(attempt.ticket, None if attempt.repeatable else answer)

    def _record_unknown(self, attempt: _Attempt) -> None:
        self.table.finish_unknown(attempt.ticket)


def _weights_state(report: EngineReport) -> tuple:
    return report.incarnation, report.serving, report.fence, report.loading


def _refusal_response(refused: BeginRefused, is_leaving: bool = False) -> Response:
    end = AttemptEnd.OUTCOME_LOST
    if refused.verdict is Verdict.NOT_RUN:
        end = AttemptEnd.REFUSED_AT_GATE
    elif refused.is_running:
        end = AttemptEnd.STILL_RUNNING
    response = _error_response(end, refused.verdict, refused.sealed, refused.reason)
    if is_leaving:
        return evolve(response, headers=(*response.headers, (headers.LEAVING, "yes")))
    return response


def _replay_response(replay: Replay, ticket: Ticket) -> Response:
    if replay.answer is None:
        reason = "it ran; its answer was not kept"
        return _error_response(AttemptEnd.OUTCOME_LOST, Verdict.RAN, False, reason)
    answer = replay.answer
    response_headers = (
        (headers.VERDICT, Verdict.RAN.value),
        (headers.TICKET, str(ticket)),
        (headers.REPLAYED, "yes"),
    )
    return Response(answer.status, answer.body, answer.content_type, response_headers)


def _error_response(
    end: AttemptEnd, verdict: Verdict, sealed: bool, reason: str, crashed: bool = False
) -> Response:
    status = 503 if verdict is Verdict.NOT_RUN else 502
    response_headers = (
        (headers.VERDICT, verdict.value),
        (headers.ATTEMPT_END, end.value),
        (headers.SEALED, "yes" if sealed else "no"),
        (headers.CRASHED, "yes" if crashed else "no"),
    )
    return json_response(status, {"verdict": verdict.value, "error": reason}, response_headers)
