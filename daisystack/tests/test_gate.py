import unittest

from daisystack.core.gate import EngineReport, Gate, GateReason
from daisystack.core.register import ModelRef

A = frozenset({ModelRef("m", "a", "0" * 64)})
B = frozenset({ModelRef("m", "b", "1" * 64)})
MIXED = frozenset({ModelRef("m", "a", "1" * 64)})


def report(serving=A, incarnation="x", loading=False, fence=1, read_s=10.0):
    return EngineReport(incarnation, serving, loading, fence, 0, read_s)


class TestGate(unittest.TestCase):
    def judge(self, gate, intent=A, seen=None, leaving=False, superseded=False, draining=False):
        gate.update(intent, seen, leaving, superseded, draining, 10.0)
        return gate.reason

    def test_each_reason_to_close(self):
        table = [
            (dict(intent=None, seen=report()), GateReason.NOT_LISTED),
            (dict(seen=report(), leaving=True), GateReason.LEAVING),
            (dict(seen=report(), superseded=True), GateReason.SUPERSEDED),
            (dict(seen=report(), draining=True), GateReason.DRAINING),
            (dict(seen=None), GateReason.NO_REPORT),
            (dict(seen=report(read_s=6.9)), GateReason.REPORT_OLD),
            (dict(seen=report(loading=True)), GateReason.LOADING),
            (dict(seen=report(serving=B)), GateReason.OTHER_WEIGHTS),
            (dict(seen=report(serving=MIXED)), GateReason.OTHER_WEIGHTS),
            (dict(seen=report(serving=frozenset())), GateReason.OTHER_WEIGHTS),
            (dict(seen=report()), GateReason.OPEN),
        ]
        for inputs, reason in table:
            with self.subTest(reason=reason):
                self.assertIs(self.judge(Gate(), **inputs), reason)

    def test_old_version_serves_until_its_own_load(self):
        gate = Gate()
        self.judge(gate, intent=A, seen=report(A))
        self.assertIs(self.judge(gate, intent=B, seen=report(A)), GateReason.OPEN)
        self.assertIs(
            self.judge(gate, intent=B, seen=report(A), draining=True), GateReason.DRAINING
        )

    def test_old_version_of_another_life_or_order_is_not_trusted(self):
        for other in (report(A, incarnation="y"), report(A, fence=2)):
            with self.subTest(other=other):
                gate = Gate()
                self.judge(gate, intent=A, seen=report(A))
                reason = self.judge(gate, intent=B, seen=other)
                self.assertIs(reason, GateReason.OTHER_WEIGHTS)
