"""Fakes of the platform that implement the protocols of daisystack.backends."""

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
    """Model engine whose state a test sets directly; records the orders it receives."""

    serving: frozenset[ModelRef] = frozenset()
    life: str = "x"
    fence: int = 0
    loading: bool = False
    is_down: bool = False
    checks_fencing: bool = True
    loses_answers: bool = False
    orders: list[LoadOrder] = field(factory=list)

    def report(self) -> EngineReport:
        """Return the state that the test has set; raises BackendError if the engine is down."""
        if self.is_down:
            raise BackendError("fake engine is down")
        return EngineReport(self.life, self.serving, self.loading, self.fence, 0, now_s())

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Load the ordered weights at once, or refuse a fencing token that is not newer."""
        self.orders.append(order)
        if self.checks_fencing and order.fence <= self.fence:
            return OrderAnswer(False, "old fence")
        self.fence = order.fence
        self.serving = order.weights
        if self.loses_answers:
            raise BackendError("fake engine withholds the answer")
        return OrderAnswer(True, "")


@define(eq=False)
class FakeConfigService:
    """Config service with one reader, whose document a test sets directly."""

    document: PublishedDocument | None = None
    is_down: bool = False
    calls: int = 0

    def watch(self, after_revision: int, wait_s: float) -> PublishedDocument | None:
        """Return the document even if it is not newer, as a stale service would."""
        self.calls += 1
        if self.is_down:
            raise BackendError("fake config service is down")
        return self.document


@define(eq=False)
class FakeWeightSource:
    """Weight source in memory; each fault maps the bytes of a chunk to those returned instead."""

    versions: list[SyntheticVersion]
    faults: list = field(factory=list)
    rate_refusals: int = 0
    is_down: bool = False
    pulled_bytes: int = 0

    def manifest(self, digest: str) -> bytes:
        """Return a manifest's bytes; raises BackendError if it is unknown or the source is down."""
        for version in self.versions:
            if version.manifest_digest == digest and not self.is_down:
                return version.manifest_body
        raise BackendError("fake weight source is down or has no such manifest")

    def chunk(self, digest: str) -> bytes:
        """Return a chunk's bytes, altered by the next fault; raises BackendError or RateLimited."""
        if self.is_down:
            raise BackendError("fake weight source is down")
        if self.rate_refusals:
            self.rate_refusals -= 1
            raise RateLimited(0.01)
        for version in self.versions:
            if digest in version.chunks:
                body = version.chunks[digest]
                self.pulled_bytes += len(body)
                return self.faults.pop(0)(body) if self.faults else body
        raise BackendError("fake weight source has no such chunk")
