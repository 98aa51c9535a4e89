"""Stand-in for the config service: daemons read and watch its document, operators publish it."""

from __future__ import annotations

import json

import eventlet
from attrs import define, field
from eventlet.event import Event

from daisystack.runtime.clock import now_s
from daisystack.runtime.web import Request, Response, Route, json_response

__all__ = ["ConfigServiceStandin"]


@define(eq=False)
class ConfigServiceStandin:
    """Keep all published documents in memory and answer watches; PUT /control sets faults."""

    documents: list[bytes] = field(factory=list)
    calls: int = 0
    is_down: bool = False
    shown_revision: int | None = None
    _changed: Event = field(factory=Event)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the service and its control interface."""
        return [
            Route("GET", "/v1/document", self._watch),
            Route("PUT", "/v1/document", self._publish),
            Route("PUT", "/control", self._control),
            Route("GET", "/counters", self._counters),
        ]

    def publish(self, body: bytes) -> int:
        """Publish a document under the next revision, which is returned."""
        self.documents.append(body)
        self._notify_watchers()
        return len(self.documents)

    def _notify_watchers(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()

    def _watch(self, request: Request, subpath: str) -> Response:
        self.calls += 1
        after = int(request.query("after", "0"))
        deadline_s = now_s() + float(request.query("wait_s", "0"))
        while not self.is_down:
            revision = len(self.documents) if self.shown_revision is None else self.shown_revision
            # With shown_revision set, return that revision even to a reader that has a newer one.
            if revision and (revision > after or self.shown_revision is not None):
                body = self.documents[revision - 1]
                return Response(200, body, headers=(("Revision", str(revision)),))
            time_left_s = deadline_s - now_s()
            if time_left_s <= 0:
                return Response(304)
            changed = self._changed
            with eventlet.Timeout(time_left_s, False):
                changed.wait()
        return Response(503, b"down\n", "text/plain")

    def _publish(self, request: Request, subpath: str) -> Response:
        body = request.environ["wsgi.input"].read()
        return json_response(201, {"revision": self.publish(body)})

    def _control(self, request: Request, subpath: str) -> Response:
        faults = json.loads(request.environ["wsgi.input"].read())
        self.is_down = faults.get("is_down", self.is_down)
        self.shown_revision = faults.get("shown_revision", self.shown_revision)
        self._notify_watchers()
        return json_response(200, {})

    def _counters(self, request: Request, subpath: str) -> Response:
        return json_response(200, {"calls": self.calls, "revision": len(self.documents)})
