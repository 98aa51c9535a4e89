"""Decide when an agent sends its engine an order to load weights."""

from __future__ import annotations

import enum

from attrs import frozen

from daisystack.core.fencing import next_fence, revision_of
from daisystack.core.gate import EngineReport
from daisystack.core.loading import LoadingTurn
from daisystack.core.register import ModelRef

__all__ = [
    "Drain",
    "Idle",
    "OrderDecision",
    "OrderInputs",
    "SendOrder",
    "WaitReason",
    "decide_order",
]


class WaitReason(enum.Enum):
    """Reason why no order is needed or allowed now."""

    AS_INTENDED = "as_intended"
    NO_INTENT = "no_intent"
    NO_REPORT = "no_report"
    LOADING = "loading"
    WEIGHTS_MISSING = "weights_missing"
    CONFIG_BEHIND_ENGINE = "config_behind_engine"
    CONFIG_UNCONFIRMED = "config_unconfirmed"
    LEAVING = "leaving"
    SUPERSEDED = "superseded"
    NOT_MY_TURN = "not_my_turn"


@frozen
class Idle:
    """Send no order, for the given reason."""

    reason: WaitReason


@frozen
class Drain:
    """Close the gate and wait for the requests in progress."""


@frozen
class SendOrder:
    """Order the engine to load the intended weights."""

    fence: int
    weights: frozenset[ModelRef]


OrderDecision = Idle | Drain | SendOrder


@frozen
class OrderInputs:
    """Inputs of decide_order."""

    intent: frozenset[ModelRef] | None
    revision: int
    report: EngineReport | None
    weights_held: bool
    turn: LoadingTurn
    in_flight: int
    draining_since_s: float | None
    drain_s: float
    leaving: bool = False
    superseded: bool = False
    config_confirmed: bool = True


def decide_order(inputs: OrderInputs, now_s: float) -> OrderDecision:
    """Return the next step toward the intended weights."""
    reason = _reason_to_wait(inputs)
    if reason is not None:
        return Idle(reason)
    if inputs.in_flight and not _drain_timed_out(inputs, now_s):
        return Drain()
    fence = next_fence(inputs.revision, inputs.report.fence)
    return SendOrder(fence, inputs.intent)


def _reason_to_wait(inputs: OrderInputs) -> WaitReason | None:
    if not inputs.intent:
        return WaitReason.NO_INTENT
    if inputs.leaving:
        return WaitReason.LEAVING
    if inputs.superseded:
        return WaitReason.SUPERSEDED
    if inputs.report is None:
        return WaitReason.NO_REPORT
    if inputs.report.serving == inputs.intent and not inputs.report.loading:
        return WaitReason.AS_INTENDED
    if inputs.report.loading:
        return WaitReason.LOADING
    if revision_of(inputs.report.fence) > inputs.revision:
        # The engine's fencing token was issued for a revision not received here yet.
        return WaitReason.CONFIG_BEHIND_ENGINE
    if not inputs.config_confirmed:
        return WaitReason.CONFIG_UNCONFIRMED
    if not inputs.weights_held:
        return WaitReason.WEIGHTS_MISSING
    # Loading on an engine that serves nothing takes no capacity away.
    if inputs.report.serving and not inputs.turn.allowed:
        return WaitReason.NOT_MY_TURN
    return None


def _drain_timed_out(inputs: OrderInputs, now_s: float) -> bool:
    since_s = inputs.draining_since_s
    return since_s is not None and now_s - since_s >= inputs.drain_s
