"""Predict the work of requests: its units, what was learned of it, and what engines have left."""

from daisystack.core.work.answers import AnswerEstimate, AnswerLengths
from daisystack.core.work.engine_work import (
    decode_work_s,
    pass_s,
    prefill_passes,
    prefill_s,
    request_work_s,
)
from daisystack.core.work.histogram import DecayedHistogram, DecayedMean
from daisystack.core.work.learned import LearnedWork, UsualRequest

__all__ = [
    "AnswerEstimate",
    "AnswerLengths",
    "DecayedHistogram",
    "DecayedMean",
    "LearnedWork",
    "UsualRequest",
    "decode_work_s",
    "pass_s",
    "prefill_passes",
    "prefill_s",
    "request_work_s",
]
