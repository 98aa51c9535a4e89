"""Decide whether an agent forwards requests to its engine."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

if TYPE_CHECKING:
    from daisystack.core.register import ModelRef

__all__ = ["EngineReport", "Gate", "GateReason"]

REPORT_LIFETIME_S = 3.0


class GateReason(enum.Enum):
    """Reason why a gate is open or closed."""

    OPEN = "open"
    NO_CONFIG = "no_config"
    NOT_LISTED = "not_listed"
    LEAVING = "leaving"
    NO_REPORT = "no_report"
    REPORT_OLD = "report_old"
    DRAINING = "draining"
    LOADING = "loading"
    OTHER_WEIGHTS = "other_weights"
    SUPERSEDED = "superseded"


@frozen
class EngineReport:
    """Status that an engine reports; read_s is the local time at which it was read."""

    incarnation: str
    serving: frozenset[ModelRef]
    loading: bool
    fence: int
    in_flight: int
    read_s: float


@frozen
class _ServedWeights:
    incarnation: str
    fence: int
    serving: frozenset[ModelRef]


@define
class Gate:
    """Gate of one agent, and the weights for which it last opened."""

    reason: GateReason = GateReason.NO_CONFIG
    _verified: _ServedWeights | None = field(default=None)

    @property
    def is_open(self) -> bool:
        """Return whether requests may pass."""
        return self.reason is GateReason.OPEN

    def update(
        self,
        intent: frozenset[ModelRef] | None,
        report: EngineReport | None,
        leaving: bool,
        superseded: bool,
        draining: bool,
        now_s: float,
    ) -> bool:
        """Evaluate the gate and return whether its reason changed; intent None means not listed.

        Weights that were intended when the gate opened remain accepted until the next load, as long
        as the same incarnation of the engine serves them under the same order.
        """
        reason = _evaluate(intent, report, leaving, superseded, draining, now_s)
        weights = (
            _ServedWeights(report.incarnation, report.fence, report.serving) if report else None
        )
        if reason is GateReason.OTHER_WEIGHTS and weights == self._verified:
            reason = GateReason.OPEN
        elif reason is GateReason.OPEN:
            self._verified = weights
        changed = reason is not self.reason
        self.reason = reason
        return changed


def _evaluate(
    intent: frozenset[ModelRef] | None,
    report: EngineReport | None,
    leaving: bool,
    superseded: bool,
    draining: bool,
    now_s: float,
) -> GateReason:
    if intent is None:
        return GateReason.NOT_LISTED
    if leaving:
        return GateReason.LEAVING
    if superseded:
        return GateReason.SUPERSEDED
    if report is None:
        return GateReason.NO_REPORT
    if now_s - report.read_s > REPORT_LIFETIME_S:
        return GateReason.REPORT_OLD
    if draining:
        return GateReason.DRAINING
    if report.loading:
        return GateReason.LOADING
    if report.serving != intent:
        return GateReason.OTHER_WEIGHTS
    return GateReason.OPEN
