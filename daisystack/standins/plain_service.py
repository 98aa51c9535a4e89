"""Stand-in for a plain service, such as a ledger, that counts the runs of each action."""

from __future__ import annotations

import json
import secrets

import eventlet
from attrs import define, field

from daisystack.runtime.web import Request, Response, Route, json_response

__all__ = ["PlainServiceStandin"]


@define(eq=False)
class PlainServiceStandin:
    """Run every request that arrives, without any deduplication of its own."""

    work_s: float = 0.02
    incarnation: str = field(factory=lambda: secrets.token_hex(4))
    in_flight: int = 0
    runs: dict[str, int] = field(factory=dict)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the service."""
        return [
            Route("GET", "/state", self._state),
            Route("GET", "/runs", self._runs),
            Route("POST", "/", self._run),
        ]

    def _state(self, request: Request, subpath: str) -> Response:
        return json_response(200, {"life": self.incarnation, "in_flight": self.in_flight})

    def _runs(self, request: Request, subpath: str) -> Response:
        return json_response(200, {"runs": self.runs})

    def _run(self, request: Request, subpath: str) -> Response:
        parameters = json.loads(request.environ["wsgi.input"].read())
        self.in_flight += 1
        action_id = str(parameters["id"])
        self.runs[action_id] = self.runs.get(action_id, 0) + 1
        eventlet.sleep(float(parameters.get("work_s", self.work_s)))
        self.in_flight -= 1
        return json_response(200, {"id": action_id, "run": self.runs[action_id]})
