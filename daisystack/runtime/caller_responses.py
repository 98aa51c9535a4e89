"""Build responses to callers: headers of answers, failures with a verdict, and stream errors."""

from __future__ import annotations

import json
import math

from daisystack.core.requests import AttemptOutcome, GiveUp
from daisystack.core.verdicts import AttemptEnd, Verdict
from daisystack.runtime import headers
from daisystack.runtime.upstream_http import UpstreamAnswer
from daisystack.runtime.web import Response, json_response

__all__ = ["answer_headers", "error_event", "failure_response", "parse_reported_outcome"]

MAX_REPORT_BYTES = 65_536

_STATUS_BY_END = {
    AttemptEnd.SHED: 429,
    AttemptEnd.HELD: 409,
}


def answer_headers(
    request_id: str, instance_id: str, answer: UpstreamAnswer
) -> tuple[tuple[str, str], ...]:
    """Return the headers that are added to an upstream's answer."""
    response_headers = [
        (headers.VERDICT, Verdict.RAN.value),
        (headers.REQUEST_ID, request_id),
        (headers.SERVED_BY, instance_id),
    ]
    for name in (headers.SERVING, headers.REPLAYED):
        value = answer.header(name)
        if value is not None:
            response_headers.append((name, value))
    return tuple(response_headers)


def parse_reported_outcome(instance_id: str, end: str, answer: UpstreamAnswer) -> AttemptOutcome:
    """Return the outcome that an agent reports for an attempt without an answer."""
    body = answer.read_body(MAX_REPORT_BYTES)
    answer.release()
    try:
        reason = json.loads(body).get("error", "")
        return AttemptOutcome(
            end=AttemptEnd(end),
            instance_id=instance_id,
            sealed=answer.header(headers.SEALED) == "yes",
            reported=Verdict(answer.header(headers.VERDICT)),
            reason=reason,
            crashed=answer.header(headers.CRASHED) == "yes",
            is_leaving=answer.header(headers.LEAVING) == "yes",
        )
    except (ValueError, AttributeError):
        reason = "the agent's report does not parse"
        return AttemptOutcome(AttemptEnd.NO_ANSWER, instance_id, reason=reason)


def error_event(verdict: Verdict, reason: str) -> bytes:
    """Return the server-sent event that reports to a caller that its stream was cut."""
    body = json.dumps({"verdict": verdict.value, "error": reason})
    return f"event: error\ndata: {body}\n\n".encode()


def failure_response(step: GiveUp, request_id: str) -> Response:
    """Return the response to a request that was given up, with its verdict."""
    response_headers = [(headers.VERDICT, step.verdict.value), (headers.REQUEST_ID, request_id)]
    if step.retry_after_s is not None:
        response_headers.append((headers.RETRY_AFTER, str(math.ceil(step.retry_after_s))))
    body = {"verdict": step.verdict.value, "end": step.end.value, "error": step.reason}
    default = 503 if step.verdict is Verdict.NOT_RUN else 502
    return json_response(_STATUS_BY_END.get(step.end, default), body, tuple(response_headers))
