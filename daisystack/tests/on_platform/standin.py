"""Stand-in for the platform on loopback: its store, an origin of weights and runners."""

from __future__ import annotations

import base64
import hashlib
import json
import os
import sys
import time

import eventlet
from attrs import define, field

from daisystack.core.addresses import Address
from daisystack.runtime.web import (
    Request,
    Response,
    Route,
    StreamBody,
    json_response,
    read_body,
    serve_http,
)

__all__ = ["ModelRunner", "PlainRunner", "PlatformStandin", "Store", "build_config"]

HOST = "127.0.0.1"
MODEL = "m1"
API_KEY = "key-of-the-dealers"
# A request whose path contains this ends the process that runs it.
CRASH_PATH = "/crash"
PIECE_COUNT = 8
LAYER_COUNT = 4
PIECE_BYTES = 32_768
EVENT_COUNT = 5
EVENT_PAUSE_S = 0.02
WATCH_POLL_S = 0.02
RESTORED_LEASE_S = 2.0
MAX_BODY_BYTES = 1_000_000
# Port offsets from the base port: store, origin, plain runner, then the model runners.
STORE, ORIGIN, PLAIN, FIRST_MODEL = 0, 1, 2, 3


def build_piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece, which differ by version and index."""
    seed = hashlib.sha256(f"{version}/{index}".encode()).digest()
    return seed * (PIECE_BYTES // len(seed))


@define(eq=False)
class Store:
    """Published keys, which can be read and watched without authentication."""

    revision: int = 1
    items: dict[str, tuple[int, bytes]] = field(factory=dict)
    deleted: dict[str, int] = field(factory=dict)
    era: int = 1
    # Revision and items that a drill comes back to.
    copy: tuple[int, dict[str, tuple[int, bytes]]] = (1, {})
    # When keys with a lease are deleted unless they are published again.
    lease_ends_s: dict[str, float] = field(factory=dict)
    leased: set[str] = field(factory=set)

    def put(self, key: str, value: object) -> None:
        """Publish a value."""
        self.revision += 1
        self.items[key] = (self.revision, json.dumps(value).encode())

    def delete(self, key: str) -> None:
        """Delete a key."""
        self.revision += 1
        if self.items.pop(key, None):
            self.deleted[key] = self.revision

    def routes(self) -> list[Route]:
        """Return the store's HTTP routes, and one by which the demo publishes."""
        return [
            Route("GET", "/daisystack/kv-range", self._range),
            Route("GET", "/daisystack/kv-watch", self._watch),
            Route("PUT", "/publish/", self._publish),
            Route("DELETE", "/publish/", self._withdraw),
            Route("PUT", "/drill/", self._drill),
        ]

    def delete_expired(self, now_s: float) -> None:
        """Delete the keys whose lease has ended."""
        for key, ends_s in list(self.lease_ends_s.items()):
            if now_s >= ends_s:
                del self.lease_ends_s[key]
                self.delete(key)

    def _publish(self, request: Request, key: str) -> Response:
        value = json.loads(read_body(request, MAX_BODY_BYTES))
        lease_ms = int(request.query("lease_ms", "0"))
        if lease_ms:
            self.leased.add(key)
            self.lease_ends_s[key] = time.monotonic() + lease_ms / 1000
        known = json.loads(self.items[key][1]) if lease_ms and key in self.items else None
        # A value that differs in its count of heartbeats only renews the lease.
        if known is None or known | {"seq": value["seq"]} != value:
            self.put(key, value)
        return json_response(200, {"revision": self.revision})

    def _withdraw(self, request: Request, key: str) -> Response:
        self.lease_ends_s.pop(key, None)
        self.delete(key)
        return json_response(200, {"revision": self.revision})

    def _drill(self, request: Request, step: str) -> Response:
        """Keep a copy of the store, or come back from the kept one in a new era."""
        if step == "keep":
            self.copy = (self.revision, dict(self.items))
        else:
            self.revision, self.items = self.copy[0], dict(self.copy[1])
            self.deleted = {}
            self.era += 1
            # Publishers that still live renew their leases, which the copy does not hold.
            lease_ends_s = time.monotonic() + RESTORED_LEASE_S
            self.lease_ends_s = {k: lease_ends_s for k in self.items if k in self.leased}
        return json_response(200, {"era": self.era})

    def _answer(self, body: dict) -> Response:
        return json_response(200, body, (("Store-Era", str(self.era)),))

    def _range(self, request: Request, subpath: str) -> Response:
        prefix = request.query("prefix")
        items = [self._item(k) for k in sorted(self.items) if k.startswith(prefix)]
        body = {"items": items, "more_pages": False, "as_of": self.revision}
        return self._answer(body)

    def _watch(self, request: Request, subpath: str) -> Response:
        prefix, after = request.query("prefix"), int(request.query("after", "0"))
        with eventlet.Timeout(int(request.query("wait_ms", "0")) / 1000, False):
            while not self._events(prefix, after):
                eventlet.sleep(WATCH_POLL_S)
        if after > self.revision:
            # A position that the copy does not have.
            return json_response(410, {}, (("Store-Era", str(self.era)),))
        body = {"events": self._events(prefix, after), "as_of": self.revision}
        return self._answer(body)

    def _events(self, prefix: str, after: int) -> list[dict]:
        events = [
            self._item(k)
            for k, (revision, _) in self.items.items()
            if k.startswith(prefix) and revision > after
        ]
        events += [
            {"key": k, "revision": revision, "deleted": True}
            for k, revision in self.deleted.items()
            if k.startswith(prefix) and revision > after
        ]
        return sorted(events, key=lambda event: event["revision"])

    def _item(self, key: str) -> dict:
        revision, value = self.items[key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision, "created_rev": 1, "lease": 0}


def serve_origin(request: Request, subpath: str) -> Response:
    """Serve the digests and pieces of any version."""
    version = int(request.query("version"))
    if request.path.startswith("/daisystack/piece/"):
        piece = build_piece(version, int(request.query("quantity")))
        return Response(200, piece, "application/octet-stream")
    digests = [hashlib.sha256(build_piece(version, i)).hexdigest() for i in range(PIECE_COUNT)]
    body = {"model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES, "digests": digests}
    return json_response(200, body)


@define(eq=False)
class PlainRunner:
    """Run each request at once and answer with its id and the stamp of the runner."""

    id: str
    runs: list[str] = field(factory=list)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the runner."""
        return [
            Route("GET", "/runs", lambda request, subpath: json_response(200, self.runs)),
            Route("GET", "/", self._run),
            Route("POST", "/", self._run),
        ]

    def _run(self, request: Request, subpath: str) -> Response:
        if CRASH_PATH in request.path:
            # As when a process is killed: no answer is sent and the port stops listening.
            os._exit(1)
        self.runs.append(request.header("X-Attempt-Id"))
        body = {"by": self.id, "tenant": request.header("X-Tenant"), "path": request.path}
        return json_response(200, body, answer_headers(self.id, request))


@define(eq=False)
class ModelRunner:
    """Stream a few events for each request, and load the staged pieces when ordered to."""

    id: str
    version: int = 0
    order_count: int = 0
    staged: dict[int, bytes] = field(factory=dict)

    def routes(self) -> list[Route]:
        """Return the HTTP routes of the runner."""
        return [
            Route("GET", "/daisystack/report", self._report),
            Route("POST", "/daisystack/order", self._order),
            Route("PUT", "/daisystack/stage-put/", self._stage),
            Route("GET", "/daisystack/stage-get/", self._staged),
            Route("POST", "/", self._run),
        ]

    def state(self) -> dict:
        """Return the fields that describe the loaded weights."""
        layers = [{"from": 0, "to": LAYER_COUNT, "version": self.version}] if self.version else None
        models = [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []
        return {"stage": "both", "models": models, "layers": layers, "born": 1}

    def _report(self, request: Request, subpath: str) -> Response:
        load = {"busy": False, "seq": self.order_count, "running": 0, "queued": 0}
        return json_response(200, self.state() | load)

    def _order(self, request: Request, subpath: str) -> Response:
        order = json.loads(read_body(request, MAX_BODY_BYTES))
        expected_pieces = [build_piece(order["version"], i) for i in range(PIECE_COUNT)]
        if order["expected"] != self.order_count:
            return json_response(409, {})
        self.order_count += 1
        is_complete = [self.staged.get(i) for i in range(PIECE_COUNT)] == expected_pieces
        # A missing or wrong piece results in version -1, which the demo detects.
        self.version = order["version"] if is_complete else -1
        return json_response(202, {})

    def _stage(self, request: Request, subpath: str) -> Response:
        self.staged[int(request.query("quantity"))] = read_body(request, MAX_BODY_BYTES)
        return json_response(200, {})

    def _staged(self, request: Request, subpath: str) -> Response:
        index = request.query("quantity")
        if not index:
            return json_response(200, {"held": sorted(self.staged)})
        if int(index) not in self.staged:
            return json_response(404, {})
        return Response(200, self.staged[int(index)], "application/octet-stream")

    def _run(self, request: Request, subpath: str) -> Response:
        if self.version <= 0:
            return json_response(503, {}, (("X-Not-Executed", "1"),))
        headers = (*answer_headers(self.id, request), ("X-Weight-Versions", str(self.version)))

        def events():
            for number in range(1, EVENT_COUNT + 1):
                eventlet.sleep(EVENT_PAUSE_S)
                yield f"id: {number}\ndata: {self.id} of version {self.version}\n\n".encode()

        return Response(200, StreamBody(events(), lambda: None), "text/event-stream", headers)


def answer_headers(runner_id: str, request: Request) -> tuple[tuple[str, str], ...]:
    """Return the headers by which callers recognize a genuine answer of a runner."""
    request_id = request.header("X-Attempt-Id") or ""
    return (("X-Attempt-Id", request_id), ("X-Response-Stamp", f"{runner_id}.1"))


@define(eq=False)
class PlatformStandin:
    """Run a small platform on consecutive ports from a base port."""

    base_port: int
    models: int = 2
    store: Store = field(factory=Store)

    def start(self) -> None:
        """Serve all parts and publish the first configuration; raises OSError."""
        origin = [Route("GET", "/daisystack/", serve_origin)]
        self._serve(STORE, self.store.routes())
        self._serve(ORIGIN, origin)
        self._serve(PLAIN, PlainRunner("plain-1").routes())
        runners = [
            ModelRunner(f"model-{i}", version=1 if i == 0 else 0) for i in range(self.models)
        ]
        for index, runner in enumerate(runners):
            self._serve(FIRST_MODEL + index, runner.routes())
        self.store.put("op/config", build_config(self.address(ORIGIN)))
        self._publish_runners(runners)
        eventlet.spawn(self._publish_version_changes, runners)

    def address(self, port: int) -> str:
        """Return the address of the part at a port offset."""
        return f"{HOST}:{self.base_port + port}"

    def _serve(self, port: int, routes: list[Route]) -> None:
        serve_http(Address(HOST, self.base_port + port), routes)

    def _publish_version_changes(self, runners: list[ModelRunner]) -> None:
        published_versions = [runner.version for runner in runners]
        while True:
            eventlet.sleep(WATCH_POLL_S)
            if published_versions != [runner.version for runner in runners]:
                published_versions = [runner.version for runner in runners]
                self._publish_runners(runners)

    def _publish_runners(self, runners: list[ModelRunner]) -> None:
        common_fields = {"zone": "z1", "version": "v1", "slots": 8, "state": "ready"}
        common_fields |= {"cold_left_ms": 0, "seq": 1, "born": 1}
        plain = common_fields | {"service": "ledger", "address": self.address(PLAIN)}
        self.store.put("servers/plain-1", plain)
        for index, runner in enumerate(runners):
            service_fields = {"service": "pool", "address": self.address(FIRST_MODEL + index)}
            self.store.put(f"servers/{runner.id}", common_fields | service_fields | runner.state())


def build_config(origin_address: str) -> dict:
    """Return a configuration with a route of each kind and one workspace."""
    route = {"host": "site.example", "timeout_ms": 3000, "target_latency_ms": 400}
    route |= {"priority": 1, "max_attempts": 2, "public": False}
    engine = {"models": [{"name": MODEL, "warm_s": 0.1}], "stride": 1, "step_ms": 5.0}
    engine |= {"read_per_s": 30000.0, "chunk": 2048, "layers": LAYER_COUNT}
    return {
        "version": 1,
        "routes": [
            route
            | {"name": "draft", "prefix": "/draft/", "kind": "streaming", "service": "pool"}
            | {"stream_resume": True, "gap_aim_ms": 300},
            route | {"name": "post", "prefix": "/post/", "kind": "unsafe", "service": "ledger"},
            route
            | {"name": "read", "prefix": "/read/", "kind": "safe", "service": "ledger"}
            | {"public": True},
            route | {"name": "risk", "prefix": "/risk/", "kind": "safe", "service": "fragile"},
        ],
        "services": [
            {"name": "pool", "max_connections": 100, "engine": engine},
            {"name": "ledger", "max_connections": 100},
            {"name": "fragile", "max_connections": 100},
            {"name": "portal", "origin": origin_address, "zone": "z1"},
        ],
        "limits": {"header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "dealers", "api_keys": [API_KEY], "priority": 1}],
    }


def start_runner(port: int, name: str) -> None:
    """Serve a single plain runner."""
    serve_http(Address(HOST, port), PlainRunner(name).routes())


def start_store(port: int, host: str) -> None:
    """Serve only the store and the origin, on this port and the next."""
    store = Store()
    serve_http(Address(host, port + STORE), store.routes())
    serve_http(Address(host, port + ORIGIN), [Route("GET", "/daisystack/", serve_origin)])
    eventlet.spawn(_expire_forever, store)


def _expire_forever(store: Store) -> None:
    while True:
        eventlet.sleep(WATCH_POLL_S)
        store.delete_expired(time.monotonic())


if __name__ == "__main__":
    if len(sys.argv) > 3:
        start_store(int(sys.argv[1]), sys.argv[3])
    elif len(sys.argv) > 2:
        start_runner(int(sys.argv[1]), sys.argv[2])
    else:
        PlatformStandin(int(sys.argv[1])).start()
    print("stand-in is listening", flush=True)
    while True:
        eventlet.sleep(3600)
