"""Predict when an engine produces the first event of a request, from its published figures."""

from __future__ import annotations

from attrs import frozen

from daisystack.core.traffic import EngineProfile

__all__ = ["EngineLoad", "predict_first_event_s", "predict_service_time_s", "predict_pass_s"]

# Half a pass for the moment of arrival, and as much again for prompts of others read meanwhile.
ARRIVAL_PASSES = 1.0
# The ways through the entry and to the engine and back, from runs on the users' bench.
NETWORK_OVERHEAD_S = 0.015
# Requests that other entries send before the engine's next report shows them.
UNREPORTED_REQUESTS = 4


@frozen
class EngineLoad:
    """Hold what runs at an engine: requests that write or wait, and prompt tokens not read yet."""

    slots: int
    requests: int
    pending_prompt_tokens: int


def predict_pass_s(profile: EngineProfile, load: EngineLoad) -> float:
    """Return how long one pass takes, which gives each writing request one event."""
    writing = min(load.requests, load.slots)
    context_tokens = writing * profile.typical_prompt_tokens
    step_s = profile.step_s + profile.step_per_sequence_s * writing
    step_s += profile.step_per_context_token_s * context_tokens
    return profile.steps_per_pass * step_s


def predict_service_time_s(
    profile: EngineProfile, load: EngineLoad, answer_tokens: int | None = None
) -> float:
    """Return how long a request holds its place; a usual one where its length is not known."""
    tokens = answer_tokens or profile.typical_answer_tokens
    passes = max(1.0, tokens / profile.steps_per_pass)
    return passes * predict_pass_s(profile, load)


def predict_first_event_s(profile: EngineProfile, load: EngineLoad, prompt_tokens: int) -> float:
    """Return the time from a request's arrival at an engine to its first event."""
    pass_s = predict_pass_s(profile, load)
    prefill_s = _prefill_s(profile, load.pending_prompt_tokens + prompt_tokens)
    expected_s = NETWORK_OVERHEAD_S + ARRIVAL_PASSES * pass_s + pass_s + prefill_s
    ahead = load.requests + UNREPORTED_REQUESTS - load.slots
    if ahead > 0:
        # Places become free one after the other, at random moments of their requests.
        expected_s += ahead * predict_service_time_s(profile, load) / load.slots
    return expected_s


def _prefill_s(profile: EngineProfile, tokens: int) -> float:
    if profile.prefill_tokens_per_s <= 0:
        return 0.0
    attention_s = profile.attention_pair_s * tokens * profile.typical_prompt_tokens / 2
    return tokens / profile.prefill_tokens_per_s + attention_s
