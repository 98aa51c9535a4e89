"""Stand-in for one upstream in a process of its own: slots, a queue, loads, and a planned leave.

It registers itself in the stand-in's store and writes a line to its record for each request that
arrives, begins, is refused or ends, and when the store acknowledged that it leaves.
"""

from __future__ import annotations

import json
import os
import socket
import sys
import time
from collections import deque
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

import eventlet
from attrs import asdict, define, field, frozen
from eventlet.green.http import client

from daisystack.core.addresses import Address, parse_address
from daisystack.runtime.web import (
    Request,
    Response,
    Route,
    StreamBody,
    json_response,
    read_body,
    serve_http,
)
from daisystack.tests.on_platform.standin import (
    MAX_BODY_BYTES,
    MODEL,
    PIECE_COUNT,
    ModelRunner,
    answer_headers,
    build_piece,
)

__all__ = ["UpstreamOptions", "UpstreamStandin", "main"]

POLL_S = 0.005
HEARTBEAT_S = 0.5
# Three heartbeats of silence.
LEASE_MS = 1500
LOAD_S = 0.3
# An upstream that leaves serves on for this long after the store has accepted its notice.
DRAIN_S = 4.0
STORE_TIMEOUT_S = 2.0
MS_PER_S = 1000
NOT_RUN = ("X-Not-Executed", "1")


@frozen
class UpstreamOptions:
    """Options of the process, passed as JSON; addresses are of this process and of its relay."""

    id: str
    service: str
    listen: str
    published: str
    store: str
    record: str
    slots: int = 2
    queue: int = 8
    has_engine: bool = False
    version: int = 0
    pause_s: float = 0.02


@define(eq=False)
class _Slots:
    """Count of running requests and the queue of those that wait."""

    count: int
    queue_limit: int
    is_loading: bool = False
    running: int = 0
    waiting: deque[object] = field(factory=deque)

    def enter(self, request: Request, deadline_s: float) -> str:
        """Wait for a slot and return "", or the reason why the request was refused."""
        if self.is_loading or len(self.waiting) >= self.queue_limit:
            return "loading" if self.is_loading else "full"
        place = object()
        self.waiting.append(place)
        try:
            while self.is_loading or self.running >= self.count or self.waiting[0] is not place:
                eventlet.sleep(POLL_S)
                if time.monotonic() >= deadline_s:
                    return "deadline"
                if _is_closed(request):
                    return "closed"
        finally:
            self.waiting.remove(place)
        if time.monotonic() >= deadline_s or _is_closed(request):
            return "late"
        self.running += 1
        return ""

    def leave(self) -> None:
        """Free the slot of a request that has ended."""
        self.running -= 1


@define(eq=False)
class UpstreamStandin:
    """Run requests in slots, load versions if it has an engine, and leave when told to."""

    options: UpstreamOptions
    record: TextIO
    is_leaving: bool = False
    # Requests a second that it takes from all entries together, as it writes it; "" for any.
    rate_limit: str = ""
    # Number of heartbeats, by which an entry that comes back is told from one of an older copy.
    heartbeat_count: int = 0
    born_ms: int = field(factory=lambda: int(time.time() * MS_PER_S))
    engine: ModelRunner = field(init=False)
    slots: _Slots = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.engine = ModelRunner(self.options.id, self.options.version)
        self.slots = _Slots(self.options.slots, self.options.queue)

    def start(self) -> None:
        """Serve, and keep the entry in the store up to date; raise OSError."""
        routes = [
            Route("GET", "/daisystack/report", self._report),
            Route("POST", "/daisystack/order", self._order),
            *(route for route in self.engine.routes() if "/stage-" in route.prefix),
            Route("PUT", "/leave", self._leave),
            Route("PUT", "/limit", self._limit),
            Route("GET", "/", self._run),
            Route("POST", "/", self._run),
        ]
        address = parse_address(self.options.listen)
        serve_http(Address(address.host, address.port), routes)
        eventlet.spawn(self._register_forever)

    def write(self, event: str, request: Request | None = None, **fields: object) -> None:
        """Write one line to the record."""
        line = {"event": event, "at_s": time.monotonic(), "upstream": self.options.id}
        line |= {"service": self.options.service, "version": self.engine.version}
        if request is not None:
            line |= {"id": request.header("X-Attempt-Id"), "path": request.path}
            line["workspace"] = request.header("X-Tenant")
        self.record.write(json.dumps(line | fields) + "\n")
        self.record.flush()

    def _register_forever(self) -> None:
        while True:
            self._register()
            eventlet.sleep(HEARTBEAT_S)

    def _register(self) -> bool:
        self.heartbeat_count += 1
        entry = {"service": self.options.service, "address": self.options.published}
        entry |= {"zone": "z1", "version": "v1", "slots": self.options.slots}
        entry |= {"state": "draining" if self.is_leaving else "ready", "cold_left_ms": 0}
        entry |= {"seq": self.heartbeat_count} | self._state()
        path = f"/publish/servers/{self.options.id}?lease_ms={LEASE_MS}"
        try:
            connection = client.HTTPConnection(self.options.store, timeout=STORE_TIMEOUT_S)
            connection.request("PUT", path, json.dumps(entry).encode())
            return connection.getresponse().status == 200
        except (OSError, client.HTTPException) as error:
            print(f"store did not answer: {error}", flush=True)
            return False

    def _state(self) -> dict:
        state = self.engine.state() if self.options.has_engine else {}
        return state | {"born": self.born_ms}

    def _report(self, request: Request, subpath: str) -> Response:
        load = {"running": self.slots.running, "queued": len(self.slots.waiting)}
        load |= {"busy": self.slots.is_loading, "seq": self.engine.order_count}
        return json_response(200, self._state() | load)

    def _order(self, request: Request, subpath: str) -> Response:
        order = json.loads(read_body(request, MAX_BODY_BYTES))
        if order["expected"] != self.engine.order_count or self.slots.is_loading:
            return json_response(409, {})
        self.engine.order_count += 1
        self.slots.is_loading = True
        pieces = dict(self.engine.staged)
        eventlet.spawn(self._load, order["version"], pieces)
        return json_response(202, {})

    def _load(self, version: int, pieces: dict[int, bytes]) -> None:
        """Load after what runs has ended; nothing begins meanwhile."""
        while self.slots.running:
            eventlet.sleep(POLL_S)
        eventlet.sleep(LOAD_S)
        expected = [build_piece(version, i) for i in range(PIECE_COUNT)]
        is_whole = [pieces.get(i) for i in range(PIECE_COUNT)] == expected
        self.engine.version = version if is_whole else -1
        self.slots.is_loading = False
        self.write("loaded")
        self._register()

    def _leave(self, request: Request, subpath: str) -> Response:
        if not self.is_leaving:
            self.is_leaving = True
            eventlet.spawn(self._drain)
        return json_response(200, {})

    def _limit(self, request: Request, subpath: str) -> Response:
        self.rate_limit = read_body(request, MAX_BODY_BYTES).decode()
        self.write("limited" if self.rate_limit else "unlimited", reason=self.rate_limit)
        return json_response(200, {})

    def _drain(self) -> None:
        while not self._register():
            eventlet.sleep(POLL_S)
        self.write("leaving")
        eventlet.sleep(DRAIN_S)
        while self.slots.running:
            eventlet.sleep(POLL_S)
        os._exit(0)

    def _run(self, request: Request, subpath: str) -> Response:
        deadline_s = time.monotonic() + int(request.header("X-Deadline-Ms") or "3000") / MS_PER_S
        if request.header("Content-Length"):
            read_body(request, MAX_BODY_BYTES)
        self.write("arrived", request)
        refusal = self._mismatch(request)
        if not refusal:
            if reason := self.slots.enter(request, deadline_s):
                refusal = 503, reason
            elif refusal := self._mismatch(request):
                self.slots.leave()
        if refusal:
            self.write("refused", request, reason=refusal[1])
            return json_response(refusal[0], {}, (NOT_RUN, *self._headers(request)))
        self.write("began", request)
        if self.options.has_engine:
            return self._stream(request, deadline_s)
        return self._answer(request)

    def _mismatch(self, request: Request) -> tuple[int, str] | None:
        expected_id = request.header("X-Expect-Instance")
        if expected_id not in (None, self.options.id):
            return 421, "other instance"
        if self.options.has_engine:
            if self.engine.version <= 0:
                return 503, "no weights"
            expected_version = request.header("X-Expect-Version")
            if expected_version not in (None, str(self.engine.version)):
                return 421, "other version"
        return None

    def _headers(self, request: Request) -> tuple[tuple[str, str], ...]:
        leaving = (("Server-Leaving", "1"), ("Connection", "close")) if self.is_leaving else ()
        limit = (("Server-Limit", self.rate_limit),) if self.rate_limit else ()
        return (*answer_headers(self.options.id, request), *leaving, *limit)

    def _answer(self, request: Request) -> Response:
        try:
            eventlet.sleep(self.options.pause_s)
        finally:
            self.slots.leave()
        self.write("ended", request)
        body = {"id": request.header("X-Attempt-Id"), "path": request.path}
        body["workspace"] = request.header("X-Tenant")
        return json_response(200, body, self._headers(request))

    def _stream(self, request: Request, deadline_s: float) -> Response:
        count = int((request.header("X-Token-Usage") or "1,5").rpartition(",")[2])
        first = int(request.header("Last-Event-Id") or "0") + 1
        version = self.engine.version
        headers = (*self._headers(request), ("X-Weight-Versions", str(version)))

        def events() -> Iterator[bytes]:
            try:
                for number in range(first, count + 1):
                    eventlet.sleep(self.options.pause_s)
                    if time.monotonic() >= deadline_s:
                        # Ends the connection within the answer.
                        raise TimeoutError("the request's deadline has passed")
                    data = {"id": request.header("X-Attempt-Id"), "version": version}
                    data["is_last"] = number == count
                    yield f"id: {number}\ndata: {json.dumps(data)}\n\n".encode()
                self.write("ended", request)
            finally:
                self.slots.leave()

        return Response(200, StreamBody(events(), self.slots.leave), "text/event-stream", headers)


def _is_closed(request: Request) -> bool:
    """Return whether the caller has closed its connection."""
    sock = getattr(request.environ["wsgi.input"], "_sock", None)
    fd = getattr(sock, "fd", None)
    if fd is None:
        return False
    try:
        return fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def main(arguments: list[str]) -> None:
    """Run an upstream until the process is ended."""
    options = UpstreamOptions(**json.loads(arguments[0]))
    with Path(options.record).open("a") as record:
        upstream = UpstreamStandin(options, record)
        if options.version:
            upstream.engine.staged = {
                i: build_piece(options.version, i) for i in range(PIECE_COUNT)
            }
        upstream.start()
        print(f"{MODEL}: upstream is listening: {asdict(options)}", flush=True)
        while True:
            eventlet.sleep(3600)


if __name__ == "__main__":
    main(sys.argv[1:])
