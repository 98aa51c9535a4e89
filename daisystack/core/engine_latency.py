"""Predict the time to the first event of a request from an engine's published profile."""

from __future__ import annotations

from attrs import frozen

from daisystack.core.traffic import EngineProfile

__all__ = ["EngineLoad", "predict_first_event_s", "predict_service_time_s", "predict_pass_s"]

# Passes to add: half a pass on average until the current one ends, and half a pass for the prompts
# of other requests that are processed meanwhile.
ARRIVAL_PASSES = 1.0
# Time in the entry and on the network to the engine and back.
NETWORK_OVERHEAD_S = 0.015
# Share of the slots that requests of other entries may take before the next report shows them.
UNREPORTED_SHARE = 0.1875


@frozen
class EngineLoad:
    """Load of an engine: its requests, running or queued, and prompt tokens still to process."""

    slots: int
    # Not a whole number where it includes an expected number of unreported requests.
    requests: float
    pending_prompt_tokens: float
    # How many times as long as in its profile the engine takes now.
    slowdown: float = 1.0
    # Predicted wait for a slot; None if only the number of requests is known.
    slot_wait_s: float | None = None


def predict_pass_s(profile: EngineProfile, load: EngineLoad) -> float:
    """Return the duration of one pass in seconds; a pass emits one event per running request."""
    running = min(load.requests, load.slots)
    context_tokens = running * profile.typical_prompt_tokens
    step_s = profile.step_s + profile.step_per_sequence_s * running
    step_s += profile.step_per_context_token_s * context_tokens
    return profile.steps_per_pass * step_s * load.slowdown


def predict_service_time_s(
    profile: EngineProfile, load: EngineLoad, answer_tokens: float | None = None
) -> float:
    """Return for how many seconds a request occupies a slot; typical if its length is unknown."""
    tokens = answer_tokens or profile.typical_answer_tokens
    passes = max(1.0, tokens / profile.steps_per_pass)
    return passes * predict_pass_s(profile, load)


def predict_first_event_s(profile: EngineProfile, load: EngineLoad, prompt_tokens: int) -> float:
    """Return the time from a request's arrival at an engine to its first event."""
    pass_s = predict_pass_s(profile, load)
    prefill_s = _prefill_s(profile, load.pending_prompt_tokens + prompt_tokens) * load.slowdown
    expected_s = NETWORK_OVERHEAD_S + ARRIVAL_PASSES * pass_s + pass_s + prefill_s
    if load.slot_wait_s is not None:
        return expected_s + load.slot_wait_s
    ahead = load.requests - load.slots * (1.0 - UNREPORTED_SHARE)
    if ahead > 0:
        # Slots become free one after another, as their requests are at random stages.
        expected_s += ahead * predict_service_time_s(profile, load) / load.slots
    return expected_s


def _prefill_s(profile: EngineProfile, tokens: float) -> float:
    if profile.prefill_tokens_per_s <= 0:
        return 0.0
    attention_s = profile.attention_pair_s * tokens * profile.typical_prompt_tokens / 2
    return tokens / profile.prefill_tokens_per_s + attention_s
