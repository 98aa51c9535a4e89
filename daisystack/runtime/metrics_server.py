"""Serve gauges and a registry as Prometheus metrics."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import cached_property
from typing import TYPE_CHECKING

from attrs import define, field

from daisystack.core.addresses import parse_address
from daisystack.runtime.web import Request, Response, Route, serve_http

if TYPE_CHECKING:
    from aioprometheus import Gauge, Registry

__all__ = ["MetricsServer", "Sample"]

METRICS_PATH = "/metrics"

# A gauge's name, help text and current value, and its labels if it has any.
Sample = tuple[str, str, float] | tuple[str, str, float, dict[str, str]]


@define(eq=False)
class MetricsServer:
    """Serve a metrics registry; gauges are read at each scrape."""

    address: str
    samples: Callable[[], Iterable[Sample]]
    _gauges: dict[str, Gauge] = field(factory=dict)

    @cached_property
    def registry(self) -> Registry:
        """The registry; its library loads in a process that counts or is scraped."""
        from aioprometheus import Registry

        return Registry()

    def start(self) -> None:
        """Start listening; raise OSError if the address can't be bound."""
        serve_http(parse_address(self.address), [Route("GET", METRICS_PATH, self._serve)])

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        from aioprometheus import Gauge, render

        samples = list(self.samples())
        for name, help_text, *_ in samples:
            if name not in self._gauges:
                self._gauges[name] = Gauge(name, help_text, registry=self.registry)
            # Forgets label values that are no longer reported.
            self._gauges[name].values.clear()
        for name, _, value, *labels in samples:
            self._gauges[name].set(labels[0] if labels else {}, value)
        return render(self.registry, ["text/plain"])[0]

    def _serve(self, request: Request, subpath: str) -> Response:
        return Response(200, self.text(), "text/plain; version=0.0.4; charset=utf-8")
