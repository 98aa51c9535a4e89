"""Pass requests through the gate to the upstream, each ticket at most once."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator

from attrs import define, field, frozen

from daisystack.core.crash_blame import CrashBlame
from daisystack.core.gate import EngineReport
from daisystack.core.idempotency import (
    BeginRefused,
    IdempotencyTable,
    RecordedAnswer,
    Replay,
    SealOutcome,
)
from daisystack.core.settings import AgentSettings
from daisystack.core.tickets import Ticket, parse_ticket
from daisystack.core.verdicts import AttemptEnd, Verdict, judge_attempt
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
QUEUE_FACTOR = 2


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
    """Own the connections to the upstream, the idempotency table and the count in flight."""

    daemon: Daemon
    engine: EngineTask
    upstream: UpstreamClient
    table: IdempotencyTable
    settings: AgentSettings
    blame: CrashBlame = field(factory=CrashBlame)
    in_flight: int = 0
    runs: int = field(default=0)

    def handle(self, request: Request, rest: str) -> Response:
        """Answer one attempt of an entry."""
        attempt = self._parse(request, rest)
        uptime_s = self.daemon.uptime_s(now_s())
        reason = self._reason_to_refuse(attempt)
        if reason is not None:
            return _refused(self.table.refuse(attempt.ticket, reason, uptime_s))
        digest = hashlib.sha256(attempt.path.encode() + b"\x00" + attempt.body).hexdigest()
        begun = self.table.begin(attempt.ticket, digest, uptime_s)
        if isinstance(begun, BeginRefused):
            return _refused(begun)
        if isinstance(begun, Replay):
            return _replayed(begun, attempt.ticket)
        return self._run(attempt)

    def is_blamed(self, text: str) -> bool:
        """Say whether a ticket is blamed for the death of an engine."""
        return self.blame.is_blamed(parse_ticket(text))

    def seal(self, text: str) -> SealOutcome:
        """Seal a ticket on behalf of an entry that heard nothing of it."""
        return self.table.seal(parse_ticket(text), self.daemon.uptime_s(now_s()))

    def _parse(self, request: Request, rest: str) -> _Attempt:
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
            path="/" + rest,
            body=body,
            content_type=request.header("content-type") or "application/octet-stream",
            deadline_s=now_s() + time_left_s,
        )

    def _reason_to_refuse(self, attempt: _Attempt) -> str | None:
        self.engine.refresh_gate()
        gate = self.engine.gate
        if not gate.is_open:
            return f"gate closed: {gate.reason.value}"
        if attempt.model is not None:
            report = self.engine.report
            if report is None or all(ref.model != attempt.model for ref in report.serving):
                return f"model {attempt.model!r} is not served here"
        if self.in_flight >= QUEUE_FACTOR * self.settings.capacity:
            return "upstream is full"
        if attempt.is_suspect and self.blame.has_suspect:
            return "another suspect of a crash is running"
        if now_s() >= attempt.deadline_s:
            return "deadline has passed"
        return None

    def _run(self, attempt: _Attempt) -> Response:
        self.in_flight += 1
        self.runs += 1
        seen = self.engine.report
        self.blame.begin(attempt.ticket, seen.life if seen else "", attempt.is_suspect)
        try:
            answer = self._send(attempt)
        except AttemptFailed as failure:
            failed = self._failed(attempt, failure, seen)
            self._left(attempt)
            return failed
        except BaseException:
            self._left(attempt)
            self._settle_unknown(attempt)
            raise
        if answer.is_stream:
            return self._stream(attempt, answer, seen)
        return self._whole(attempt, answer, seen)

    def _send(self, attempt: _Attempt) -> UpstreamAnswer:
        sent = {"Content-Type": attempt.content_type, "Idempotency-Key": str(attempt.ticket)}
        time_left_s = attempt.deadline_s - now_s()
        return self.upstream.send(attempt.path, attempt.body, sent, time_left_s)

    def _whole(
        self, attempt: _Attempt, answer: UpstreamAnswer, seen: EngineReport | None
    ) -> Response:
        try:
            body = answer.read_whole(self.settings.max_answer_bytes)
            self._check_weights(seen)
        except AttemptFailed as failure:
            return self._failed(attempt, failure, seen)
        finally:
            self._left(attempt)
        recorded = RecordedAnswer(answer.status, answer.content_type, body)
        self._settle(attempt, recorded)
        return Response(
            recorded.status, body, recorded.content_type, self._answer_headers(attempt, answer)
        )

    def _stream(
        self, attempt: _Attempt, answer: UpstreamAnswer, seen: EngineReport | None
    ) -> Response:
        def abort() -> None:
            answer.abandon()
            self._settle_unknown(attempt)
            self._left(attempt)

        body = StreamBody(self._pass_on(attempt, answer, seen), abort)
        return Response(
            answer.status, body, answer.content_type, self._answer_headers(attempt, answer)
        )

    def _pass_on(
        self, attempt: _Attempt, answer: UpstreamAnswer, seen: EngineReport | None
    ) -> Iterator[bytes]:
        kept = bytearray()
        keep_bytes = 0 if attempt.repeatable else self.table.max_one_answer_bytes
        try:
            for piece in answer.pieces():
                if len(kept) <= keep_bytes:
                    kept += piece
                yield piece
            self._check_weights(seen)
            self._settle(attempt, RecordedAnswer(answer.status, answer.content_type, bytes(kept)))
        except BaseException as error:
            # Without the closing chunk the entry sees that the answer is cut.
            answer.abandon()
            self._settle_unknown(attempt)
            if isinstance(error, AttemptFailed):
                self._look_for_crash(seen)
            raise
        finally:
            self._left(attempt)

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

    def _check_weights(self, seen: EngineReport | None) -> None:
        if not self.engine.intent():
            return
        report = self.engine.read_report()
        if report is None or seen is None or _weights(report) != _weights(seen):
            raise AttemptFailed(AttemptEnd.ANSWER_MIXED, "weights changed during the answer")

    def _left(self, attempt: _Attempt) -> None:
        self.in_flight -= 1
        self.blame.end(attempt.ticket)

    def _failed(
        self, attempt: _Attempt, failure: AttemptFailed, seen: EngineReport | None
    ) -> Response:
        verdict = judge_attempt(failure.end)
        if verdict is Verdict.NOT_RUN:
            self.table.finish_not_run(attempt.ticket)
            return _failure(failure.end, verdict, True, failure.reason)
        self._settle_unknown(attempt)
        self._look_for_crash(seen)
        crashed = self.blame.is_blamed(attempt.ticket)
        return _failure(failure.end, verdict, False, failure.reason, crashed)

    def _look_for_crash(self, seen: EngineReport | None) -> None:
        """Blame requests when the engine that ran them is gone or has a new life."""
        report = self.engine.read_report()
        if seen is not None and (report is None or report.life != seen.life):
            self.blame.died(seen.life)

    def _settle(self, attempt: _Attempt, answer: RecordedAnswer) -> None:
        # Nobody resends the ticket of a repeatable request, so its answer need not be kept.
        self.table.finish(attempt.ticket, None if attempt.repeatable else answer)

    def _settle_unknown(self, attempt: _Attempt) -> None:
        self.table.finish_unknown(attempt.ticket)


def _weights(report: EngineReport) -> tuple:
    return report.life, report.serving, report.fence, report.loading


def _refused(refused: BeginRefused) -> Response:
    end = AttemptEnd.OUTCOME_LOST
    if refused.verdict is Verdict.NOT_RUN:
        end = AttemptEnd.REFUSED_AT_GATE
    elif refused.is_running:
        end = AttemptEnd.STILL_RUNNING
    return _failure(end, refused.verdict, refused.sealed, refused.reason)


def _replayed(replay: Replay, ticket: Ticket) -> Response:
    if replay.answer is None:
        reason = "it ran; its answer was not kept"
        return _failure(AttemptEnd.OUTCOME_LOST, Verdict.RAN, False, reason)
    answer = replay.answer
    response_headers = (
        (headers.VERDICT, Verdict.RAN.value),
        (headers.TICKET, str(ticket)),
        (headers.REPLAYED, "yes"),
    )
    return Response(answer.status, answer.body, answer.content_type, response_headers)


def _failure(
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
