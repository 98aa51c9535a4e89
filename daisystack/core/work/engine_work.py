"""Work of requests in seconds of an engine, from its published profile."""

from __future__ import annotations

from daisystack.core.traffic import EngineProfile

__all__ = ["decode_work_s", "pass_s", "prefill_passes", "prefill_s", "request_work_s"]


def prefill_s(profile: EngineProfile, tokens: float) -> float:
    """Return the time to process prompt tokens; all other requests of the engine wait meanwhile."""
    if profile.prefill_tokens_per_s <= 0:
        return 0.0
    pair_s = profile.attention_pair_s * profile.typical_prompt_tokens / 2
    return tokens * (1.0 / profile.prefill_tokens_per_s + pair_s)


def prefill_passes(profile: EngineProfile, tokens: float) -> int:
    """Return the number of passes in which prompt tokens are processed."""
    return 1 + int(tokens // profile.chunk_tokens) if profile.chunk_tokens > 0 else 1


def pass_s(profile: EngineProfile, running: float) -> float:
    """Return the duration of a pass for a number of running requests, without any prefill."""
    step_s = profile.step_s + profile.step_per_sequence_s * running
    step_s += profile.step_per_context_token_s * running * profile.typical_prompt_tokens
    return profile.steps_per_pass * step_s


def decode_work_s(profile: EngineProfile, slots: int, tokens: float) -> float:
    """Return the share of a full engine's time that the tokens of an answer take."""
    passes = max(1.0, tokens / profile.steps_per_pass)
    return passes * pass_s(profile, slots) / slots


def request_work_s(
    profile: EngineProfile, slots: int, prompt_tokens: float, answer_tokens: float
) -> float:
    """Return the seconds of a full engine that a request takes, prompt and answer."""
    return prefill_s(profile, prompt_tokens) + decode_work_s(profile, slots, answer_tokens)
