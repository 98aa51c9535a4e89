"""Hold what a caller asks of an upstream that is sent to directly, and what it answers."""

from __future__ import annotations

from attrs import frozen

__all__ = ["DirectAnswer", "DirectRequest", "PromptSize", "RequestRefused"]


class RequestRefused(ValueError):
    """Say what is wrong with a request and what is allowed."""


@frozen
class PromptSize:
    """Hold the size of a generation: tokens to read, tokens to write at most and as expected."""

    model: str
    prompt_tokens: int
    max_answer_tokens: int
    expected_answer_tokens: int


@frozen
class DirectRequest:
    """Hold one checked request; headers are those that go on to the upstream unchanged."""

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
    """Hold what an upstream's answer says of itself besides its body.

    was_not_run is the upstream's own word. is_genuine says that the answer bears its mark.
    """

    status: int
    request_id: str | None
    was_not_run: bool
    is_genuine: bool
    is_stream: bool
    is_encoded: bool
    version: int | None
    headers: tuple[tuple[bytes, bytes], ...]
