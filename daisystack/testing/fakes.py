"""Fake the platform at the interfaces of backends."""

from __future__ import annotations

from attrs import define, field

from daisystack.backends import BackendError, LoadOrder, OrderAnswer, RateLimited
from daisystack.core.config_keeper import PublishedDocument
from daisystack.core.gate import EngineReport
from daisystack.core.register import ModelRef
from daisystack.runtime.clock import now_s
from daisystack.standins.weights import SyntheticVersion

__all__ = ["FakeConfigService", "FakeEngine", "FakeWeightSource"]


@define(eq=False)
class FakeEngine:
    """Serve what a test says, and remember the orders."""

    serving: frozenset[ModelRef] = frozenset()
    incarnation: str = "x"
    fence: int = 0
    loading: bool = False
    is_down: bool = False
    checks_fencing: bool = True
    loses_answers: bool = False
    orders: list[LoadOrder] = field(factory=list)

    def report(self) -> EngineReport:
        """Return the state that the test has set."""
        if self.is_down:
            raise BackendError("down")
        return EngineReport(self.incarnation, self.serving, self.loading, self.fence, 0, now_s())

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Load at once, unless the fencing number is old."""
        self.orders.append(order)
        if self.checks_fencing and order.fence <= self.fence:
            return OrderAnswer(False, "old fence")
        self.fence = order.fence
        self.serving = order.weights
        if self.loses_answers:
            raise BackendError("answer lost")
        return OrderAnswer(True, "")


@define(eq=False)
class FakeConfigService:
    """Show one reader what a test says."""

    document: PublishedDocument | None = None
    is_down: bool = False
    calls: int = 0

    def watch(self, after_revision: int, wait_s: float) -> PublishedDocument | None:
        """Return what is shown, newer or not, as a stale service would."""
        self.calls += 1
        if self.is_down:
            raise BackendError("down")
        return self.document


@define(eq=False)
class FakeWeightSource:
    """Hold versions; a fault is a function from a chunk's bytes to what is sent instead."""

    versions: list[SyntheticVersion]
    faults: list = field(factory=list)
    rate_refusals: int = 0
    is_down: bool = False
    pulled_bytes: int = 0

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes."""
        for version in self.versions:
            if version.manifest_digest == digest and not self.is_down:
                return version.manifest_body
        raise BackendError("no such manifest")

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes, with the next fault applied."""
        if self.is_down:
            raise BackendError("down")
        if self.rate_refusals:
            self.rate_refusals -= 1
            raise RateLimited(0.01)
        for version in self.versions:
            if digest in version.chunks:
                body = version.chunks[digest]
                self.pulled_bytes += len(body)
                return self.faults.pop(0)(body) if self.faults else body
        raise BackendError("no such chunk")
