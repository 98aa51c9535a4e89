"""Read the state of a model engine or plain service over HTTP, and send orders to an engine."""

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
    """Client of `GET /state` and `POST /orders`; status 409 refuses an old fencing token."""

    endpoint: HttpEndpoint
    now_s: Callable[[], float]

    def report(self) -> EngineReport:
        """Return the engine's report of what it serves; raise BackendError."""
        # The report's age counts from the request, because the response may have been delayed.
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
            raise BackendError(f"invalid engine state: {error!r}") from error

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Send an order and return its answer; raise BackendError if the answer is lost."""
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
    """Client of `GET /state` of a plain service, which accepts no orders."""

    endpoint: HttpEndpoint
    now_s: Callable[[], float]

    def report(self) -> EngineReport:
        """Return a report without weights; raise BackendError."""
        requested_s = self.now_s()
        state = self.endpoint.read_json(self.endpoint.call("GET", "/state"))
        incarnation = str(state.get("life", ""))
        in_flight = int(state.get("in_flight", 0))
        return EngineReport(incarnation, frozenset(), False, 0, in_flight, requested_s)

    def order(self, order: LoadOrder) -> OrderAnswer:
        """Refuse the order, because a plain service loads no weights."""
        return OrderAnswer(False, "a plain service takes no orders")
