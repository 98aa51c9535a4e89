"""Stand-in for the platform's list of instances, which lags behind changes."""

from __future__ import annotations

import json

from attrs import define, field

from daisystack.runtime.clock import now_s
from daisystack.runtime.web import Request, Response, Route, json_response

__all__ = ["LiveListStandin"]

DEFAULT_LAG_S = 30.0


@define(eq=False)
class LiveListStandin:
    """List the state of each instance; a change shows only after lag_s."""

    lag_s: float = DEFAULT_LAG_S
    _changes: list[tuple[float, str, str]] = field(factory=list)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the list and its control interface."""
        return [Route("GET", "/v1/instances", self._list), Route("PUT", "/control", self._control)]

    def _list(self, request: Request, subpath: str) -> Response:
        visible_until_s = now_s() - self.lag_s
        states = {id: state for at_s, id, state in self._changes if at_s <= visible_until_s}
        instances = [{"id": id, "state": state} for id, state in sorted(states.items())]
        return json_response(200, {"instances": instances})

    def _control(self, request: Request, subpath: str) -> Response:
        change = json.loads(request.environ["wsgi.input"].read())
        self._changes.append((now_s(), change["id"], change["state"]))
        return json_response(200, {})
