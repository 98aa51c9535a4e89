"""Simulated engine that processes prompts and generates answers in passes."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count

from attrs import define, field

from daisystack.core.traffic import EngineProfile

__all__ = ["Request", "Clock", "ModelEngine", "capacity_per_s"]

QUEUE_LIMIT = 32


@define(eq=False)
class Clock:
    """Simulated clock that runs callbacks in the order of their times."""

    now_s: float = 0.0
    _due: list = field(factory=list)
    _number: count = field(factory=count)

    def at(self, when_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        heapq.heappush(self._due, (when_s, next(self._number), callback))

    def run(self, until_s: float) -> None:
        """Run all callbacks that are due up to a time."""
        while self._due and self._due[0][0] <= until_s:
            self.now_s, _, callback = heapq.heappop(self._due)
            callback()


@define(eq=False)
class Request:
    """A request; its times are absolute, and first_event_s is None before the first event."""

    arrived_s: float
    entry: int
    zone: str
    prompt_tokens: int
    answer_tokens: int
    first_event_s: float | None = None
    was_refused: bool = False
    # 0 is most urgent; an engine starts the most urgent request of its queue first.
    priority: int = 0
    pending_prompt_tokens: int = field(init=False)
    pending_answer_tokens: int = field(init=False)
    on_event: Callable[[float, bool], None] = lambda now_s, is_last: None

    def __attrs_post_init__(self) -> None:
        self.pending_prompt_tokens = self.prompt_tokens
        self.pending_answer_tokens = self.answer_tokens


@define(eq=False)
class ModelEngine:
    """Serves up to slots requests at once in passes; slow_factor multiplies the pass duration."""

    id: str
    zone: str
    profile: EngineProfile
    clock: Clock
    slots: int = 16
    slow_factor: float = 1.0
    stalled_until_s: float = 0.0
    running: list[Request] = field(factory=list)
    queue: deque[Request] = field(factory=deque)
    _is_in_pass: bool = False

    def enqueue(self, request: Request) -> bool:
        """Queue a request; return False when the queue is full."""
        if len(self.queue) >= QUEUE_LIMIT:
            return False
        self.queue.append(request)
        if not self._is_in_pass:
            self._begin_pass()
        return True

    def stall(self, duration_s: float) -> None:
        """Stop all work for a duration."""
        self.stalled_until_s = self.clock.now_s + duration_s

    def _begin_pass(self) -> None:
        while self.queue and len(self.running) < self.slots:
            first = min(self.queue, key=lambda request: request.priority)
            self.queue.remove(first)
            self.running.append(first)
        self._is_in_pass = bool(self.running)
        if not self._is_in_pass:
            return
        prefilled_tokens = self._prefill()
        took_s = self._pass_duration_s(prefilled_tokens) * self.slow_factor
        self.clock.at(self.clock.now_s + took_s, self._end_pass)

    def _prefill(self) -> int:
        remaining_tokens = self.profile.chunk_tokens
        for request in self.running:
            prefilled = min(remaining_tokens, request.pending_prompt_tokens)
            request.pending_prompt_tokens -= prefilled
            remaining_tokens -= prefilled
        return self.profile.chunk_tokens - remaining_tokens

    def _pass_duration_s(self, prefill_tokens: int) -> float:
        profile = self.profile
        sequences = len(self.running)
        context = sum(request.prompt_tokens for request in self.running)
        step_s = profile.step_s + profile.step_per_sequence_s * sequences
        step_s += profile.step_per_context_token_s * context
        prefill_s = prefill_tokens / profile.prefill_tokens_per_s
        prefill_s += profile.attention_pair_s * prefill_tokens * profile.typical_prompt_tokens / 2
        return profile.steps_per_pass * step_s + prefill_s

    def _end_pass(self) -> None:
        if self.clock.now_s < self.stalled_until_s:
            self.clock.at(self.stalled_until_s, self._end_pass)
            return
        for request in [request for request in self.running if request.pending_prompt_tokens == 0]:
            request.pending_answer_tokens -= self.profile.steps_per_pass
            is_last = request.pending_answer_tokens <= 0
            if is_last:
                self.running.remove(request)
            request.on_event(self.clock.now_s, is_last)
        self._begin_pass()


def capacity_per_s(profile: EngineProfile, slots: int) -> float:
    """Return the typical requests per second that one engine with all slots in use completes."""
    passes = profile.typical_answer_tokens / profile.steps_per_pass
    per_pass = slots / passes
    step_s = profile.step_s + profile.step_per_sequence_s * slots
    step_s += profile.step_per_context_token_s * slots * profile.typical_prompt_tokens
    prefill_s = per_pass * profile.typical_prompt_tokens / profile.prefill_tokens_per_s
    return per_pass / (profile.steps_per_pass * step_s + prefill_s)
