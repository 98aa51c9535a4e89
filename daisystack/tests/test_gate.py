import unittest

from daisystack.core.gate import EngineReport, Gate, GateReason
from daisystack.core.register import ModelRef

A = frozenset({ModelRef("m", "a", "0" * 64)})
B = frozenset({ModelRef("m", "b", "1" * 64)})
MIXED = frozenset({ModelRef("m", "a", "1" * 64)})


def report(serving=A, incarnation="x", loading=False, fence=1, read_s=10.0):
    return EngineReport(incarnation, serving, loading, fence, 0, read_s)


class TestGate(unittest.TestCase):
    def evaluate(
        self, gate, intent=A, observed=None, leaving=False, superseded=False, draining=False
    ):
        gate.update(intent, observed, leaving, superseded, draining, 10.0)
        return gate.reason

    def test_each_gate_reason(self):
        table = [
            (dict(intent=None, observed=report()), GateReason.NOT_LISTED),
            (dict(observed=report(), leaving=True), GateReason.LEAVING),
            (dict(observed=report(), superseded=True), GateReason.SUPERSEDED),
            (dict(observed=report(), draining=True), GateReason.DRAINING),
            (dict(observed=None), GateReason.NO_REPORT),
            (dict(observed=report(read_s=6.9)), GateReason.REPORT_OLD),
            (dict(observed=report(loading=True)), GateReason.LOADING),
            (dict(observed=report(serving=B)), GateReason.OTHER_WEIGHTS),
            (dict(observed=report(serving=MIXED)), GateReason.OTHER_WEIGHTS),
            (dict(observed=report(serving=frozenset())), GateReason.OTHER_WEIGHTS),
            (dict(observed=report()), GateReason.OPEN),
        ]
        for inputs, reason in table:
            with self.subTest(reason=reason):
                self.assertIs(self.evaluate(Gate(), **inputs), reason)

    def test_previous_version_serves_until_the_engine_drains_to_load(self):
        gate = Gate()
        self.evaluate(gate, intent=A, observed=report(A))
        self.assertIs(self.evaluate(gate, intent=B, observed=report(A)), GateReason.OPEN)
        self.assertIs(
            self.evaluate(gate, intent=B, observed=report(A), draining=True), GateReason.DRAINING
        )

    def test_previous_version_of_another_incarnation_or_order_closes_the_gate(self):
        for other in (report(A, incarnation="y"), report(A, fence=2)):
            with self.subTest(other=other):
                gate = Gate()
                self.evaluate(gate, intent=A, observed=report(A))
                reason = self.evaluate(gate, intent=B, observed=other)
                self.assertIs(reason, GateReason.OTHER_WEIGHTS)
