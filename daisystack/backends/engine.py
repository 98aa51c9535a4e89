"""Watch and order a model engine, or watch a plain service, over HTTP."""

from __future__ import annotations

import json
from collections.abc import Callable

from attrs import define

from daisystack.backends.base import BackendError, LoadOrder, OrderAnswer
from daisystack.backends.http import HttpEndpoint
from daisystack.core.gate import EngineReport
from daisystack.core.register import ModelRef

__all__ = ["HttpModelEngine", "HttpPlainService"]


@define
class HttpModelEngine:
    """Read `GET /state` and send `POST /orders`; 409 refuses an old fencing number."""

    endpoint: HttpEndpoint
    now_s: Callable[[], float]

    def report(self) -> EngineReport:
        """Return what the engine says it serves; raises BackendError."""
        # The age counts from the question, since the answer may have been held up.
        requested_s = self.now_s()
        state = self.endpoint.read_json(self.endpoint.call("GET", "/state"))
        try:
            return EngineReport(
                incarnation=str(state["life"]),
                serving=frozenset(ModelRef(**ref) for ref in state["serving"]),
                loading=bool(state["loading"]),
                fence=int(state["fence"]),
                in_flight=int(state["in_flight"]),
                read_s=requested_s,
            )
        except (KeyError, TypeError, ValueError) as error:
            raise BackendError(f"engine state does not parse: {error!r}") from error

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Send an order; raises BackendError when its answer is lost."""
        body = {
            "fence": order.fence,
            "staged_url": order.staged_url,
            "load": [
                {"model": ref.model, "version": ref.version, "manifest_digest": ref.manifest_digest}
                for ref in sorted(order.weights)
            ],
        }
        response = self.endpoint.call("POST", "/orders", json.dumps(body).encode())
        return OrderAnswer(response.status == 200, response.body.decode(errors="replace").strip())


@define
class HttpPlainService:
    """Read `GET /state` of a plain service, which takes no orders."""

    endpoint: HttpEndpoint
    now_s: Callable[[], float]

    def report(self) -> EngineReport:
        """Return a report with no weights; raises BackendError."""
        requested_s = self.now_s()
        state = self.endpoint.read_json(self.endpoint.call("GET", "/state"))
        incarnation = str(state.get("life", ""))
        in_flight = int(state.get("in_flight", 0))
        return EngineReport(incarnation, frozenset(), False, 0, in_flight, requested_s)

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Refuse, since a plain service loads nothing."""
        return OrderAnswer(False, "a plain service takes no orders")
