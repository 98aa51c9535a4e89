"""Bring one engine to the intended weights and keep its gate consistent with what it serves."""

from __future__ import annotations

import logging
from collections.abc import Callable

import eventlet
from attrs import define, field

from daisystack.backends import BackendError, LoadOrder, ModelEngine
from daisystack.core.audit import AuditAction
from daisystack.core.gate import EngineReport, Gate
from daisystack.core.loading import (
    LoadingTurn,
    earlier_in_lane,
    keeps_min_serving,
    loading_turn,
    other_pool_members,
)
from daisystack.core.orders import Drain, Idle, OrderInputs, SendOrder, decide_order
from daisystack.core.register import ModelRef
from daisystack.runtime.clock import now_s
from daisystack.runtime.daemon import Daemon
from daisystack.runtime.tasks import run_steps
from daisystack.runtime.transfer_task import TransferTask

__all__ = ["EngineTask"]

TICK_S = 0.25
MIN_ORDER_INTERVAL_S = 1.0
# A longer gap between two ticks means that this process was paused.
MIN_PAUSE_S = 2.0

_logger = logging.getLogger("daisystack.engine")


@define(eq=False)
class EngineTask:
    """Own the reports of the engine, its gate and its load orders."""

    daemon: Daemon
    engine: ModelEngine
    transfer_task: TransferTask
    in_flight: Callable[[], int]
    drain_s: float
    gate: Gate = field(factory=Gate)
    report: EngineReport | None = None
    is_draining: bool = False
    _draining_since_s: float | None = None
    _last_order_s: float = -MIN_ORDER_INTERVAL_S
    _last_tick_s: float = field(factory=now_s)
    _last_pause_s: float = field(factory=now_s)

    def start(self) -> None:
        """Start polling the engine."""
        eventlet.spawn(run_steps, "engine", self._tick)

    @property
    def is_loading(self) -> bool:
        """Return whether the engine is loading or draining before a load."""
        return self.is_draining or bool(self.report and self.report.loading)

    def intended_weights(self) -> frozenset[ModelRef] | None:
        """Return the intended weights, or None if the document does not list this instance."""
        document = self.daemon.document
        if document is None or self.daemon.settings.id not in document.instances:
            return None
        return document.intended_weights(self.daemon.settings.id)

    def refresh_gate(self) -> None:
        """Evaluate the gate for the current time and the latest report; announce a change."""
        previous_reason = self.gate.reason
        leaving = self.daemon.leaving
        changed = self.gate.update(
            self.intended_weights(),
            self.report,
            leaving,
            self._is_superseded(),
            self.is_draining,
            now_s(),
        )
        if changed:
            opened = self.gate.is_open
            action = AuditAction.GATE_OPENED if opened else AuditAction.GATE_CLOSED
            serving = sorted(f"{r.model}@{r.version}" for r in self._serving())
            self.daemon.audit(
                action, previous_reason.value, self.gate.reason.value, f"serves {serving}"
            )
            self.daemon.heartbeats.broadcast_status()

    def read_report(self) -> EngineReport | None:
        """Request a report from the engine and return it, or None if it does not answer."""
        try:
            self.report = self.engine.report()
        except BackendError:
            return None
        return self.report

    def _serving(self) -> frozenset[ModelRef]:
        return self.report.serving if self.report else frozenset()

    def _is_superseded(self) -> bool:
        document = self.daemon.document
        settings = self.daemon.settings
        instance = document.instances.get(settings.id) if document else None
        return instance is not None and instance.peer_address != settings.peer_address

    def _tick(self) -> None:
        at_s = now_s()
        if at_s - self._last_tick_s > MIN_PAUSE_S:
            self._last_pause_s = at_s
        self._last_tick_s = at_s
        self.read_report()
        self.transfer_task.keep_in_use(self._serving())
        self._reconcile()
        self.refresh_gate()
        eventlet.sleep(TICK_S)

    def _reconcile(self) -> None:
        decision = decide_order(self._order_inputs(), now_s())
        if isinstance(decision, Idle):
            self._stop_draining()
        elif not self.is_draining and not self._keeps_min_serving():
            return
        elif isinstance(decision, Drain):
            self._start_draining()
        elif now_s() - self._last_order_s >= MIN_ORDER_INTERVAL_S:
            self._start_draining()
            self._send_order(decision)

    def _order_inputs(self) -> OrderInputs:
        intent = self.intended_weights()
        return OrderInputs(
            intent=intent,
            revision=self.daemon.config.keeper.revision,
            report=self.report,
            weights_held=bool(intent) and self.transfer_task.is_complete(intent),
            turn=self._loading_turn(),
            in_flight=self.in_flight(),
            draining_since_s=self._draining_since_s,
            drain_s=self.drain_s,
            leaving=self.daemon.leaving,
            superseded=self._is_superseded(),
            config_confirmed=self.daemon.config.confirmed_after(self._last_pause_s),
        )

    def _loading_turn(self) -> LoadingTurn:
        document = self.daemon.document
        own_id = self.daemon.settings.id
        if document is None or own_id not in document.instances:
            return LoadingTurn(False)
        heartbeats = self.daemon.heartbeats

        def is_done(instance_id: str) -> bool:
            status = heartbeats.peers.status(instance_id)
            return status is not None and status.serving == document.intended_weights(instance_id)

        return loading_turn(earlier_in_lane(document, own_id), heartbeats.state, is_done)

    def _keeps_min_serving(self) -> bool:
        document = self.daemon.document
        own_id = self.daemon.settings.id
        min_serving = document.pool_rules(document.instances[own_id].pool or "").min_serving
        # Loading on an engine that serves nothing takes no capacity away.
        if not min_serving or not self._serving():
            return True
        return keeps_min_serving(
            self.daemon.heartbeats.exchange_with(other_pool_members(document, own_id)), min_serving
        )

    def _start_draining(self) -> None:
        if not self.is_draining:
            self.is_draining = True
            self._draining_since_s = now_s()
            self.refresh_gate()

    def _stop_draining(self) -> None:
        self.is_draining = False
        self._draining_since_s = None

    def _send_order(self, decision: SendOrder) -> None:
        # After a pause the report behind the decision may be outdated, so read it again.
        previous = self.report
        if self.read_report() != _with_volatile_fields(previous, self.report) or self._was_paused():
            return
        self._last_order_s = now_s()
        names = ",".join(sorted(f"{r.model}@{r.version}" for r in decision.weights))
        before = ",".join(sorted(f"{r.model}@{r.version}" for r in self._serving())) or "none"
        after = f"{names} fence {decision.fence}"
        self.daemon.audit(AuditAction.ORDER_SENT, before, after, "sent")
        url = f"http://{self.daemon.settings.http_address}/v1/staged"
        try:
            answer = self.engine.order(LoadOrder(decision.fence, decision.weights, url))
            outcome = answer.reason or ("accepted" if answer.accepted else "refused")
        except BackendError as error:
            outcome = f"answer lost: {error}"
        self.daemon.audit(AuditAction.ORDER_ANSWERED, before, after, outcome)

    def _was_paused(self) -> bool:
        return now_s() - self._last_tick_s > MIN_PAUSE_S


def _with_volatile_fields(
    report: EngineReport | None, other: EngineReport | None
) -> EngineReport | None:
    """Return a report with in_flight and read_s of another, so that only the rest is compared."""
    if report is None or other is None:
        return None
    return EngineReport(
        report.incarnation,
        report.serving,
        report.loading,
        report.fence,
        other.in_flight,
        other.read_s,
    )
