"""Caller requests that an entry sends to upstreams without an agent in between, and answers."""

from __future__ import annotations

from attrs import frozen

__all__ = ["DirectAnswer", "DirectRequest", "PromptSize", "InvalidRequest"]


class InvalidRequest(ValueError):
    """A request is invalid; the message says what was received and what is allowed."""


@frozen
class PromptSize:
    """Size of a generation request: prompt tokens, and maximum and expected answer tokens.

    shared_parts are the ids of the prompt's parts that other requests may have too.
    """

    model: str
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int
    shared_parts: tuple[str, ...] = ()


@frozen
class DirectRequest:
    """A validated request; headers are those forwarded to the upstream unchanged."""

    id: str
    method: str
    target: str
    host: str
    path: str
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    arrived_s: float
    time_left_s: float
    api_key: str | None
    prompt: PromptSize | None
    resume_after: str | None


@frozen
class DirectAnswer:
    """Status and headers of an upstream's answer.

    was_not_run is reported by the upstream itself. is_marked means that the answer carries the
    upstream's mark, is_genuine that it also makes no claim that it doesn't prove.
    """

    status: int
    request_id: str | None
    was_not_run: bool
    is_genuine: bool
    is_stream: bool
    is_encoded: bool
    version: int | None
    # The upstream accepts no new work for long, as it is about to stop.
    is_leaving: bool
    # How long the upstream wants no requests from this instance, as it wrote it.
    retry_after: str | None
    headers: tuple[tuple[bytes, bytes], ...]
    is_marked: bool = False
    # How many requests per second the upstream takes from all instances, as it wrote it.
    rate_limit: str | None = None

    def is_from_upstream(self, request_id: str) -> bool:
        """Return whether the upstream that was addressed wrote this answer to a request."""
        # An upstream refuses a request without its id.
        names_another = self.request_id not in (None, request_id)
        return not names_another and (self.is_marked or self.was_not_run)
