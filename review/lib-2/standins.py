"""Small site on loopback: the project's own programs and stand-ins for everything around them.

The stand-ins use the standard library only and run as threads of the script; the programs run as
separate processes with the commands of the deploy file.
"""

from __future__ import annotations

import base64
import functools
import hashlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
METRICS_PORT = 7714
CALLERS, READY, PEERS, DIRECTORY, DATAGRAMS, STORE = range(21_010, 21_016)
MODEL = "model-a"
PIECE_COUNT, PIECE_BYTES, LAYER_COUNT = 64, 32_768, 16
HOST = "site.example"


class CouldNotRun(Exception):
    """Raised if the case can't show anything, as when a program doesn't start."""


def has_trouble() -> bool:
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write to record.txt what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self._file = path.open("w")
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        with self._lock:
            self._file.write(f"{time.monotonic() - self.started_s:8.3f} {text}\n")
            self._file.flush()


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request, client_address) -> None:
        """Ignore connections that the other side has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    respond = None
    # Called once, as soon as the answer has been sent.
    after_answer = None

    def log_message(self, *arguments) -> None:
        """Write no log."""

    def _handle(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        status, headers, answer = self.respond(self, body)
        if status is None:
            self.close_connection = True
            return
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(answer)))
        if self.headers.get("Connection", "").lower() == "close":
            self.send_header("Connection", "close")
            self.close_connection = True
        self.end_headers()
        self.wfile.write(answer)
        if self.after_answer is not None:
            after, self.after_answer = self.after_answer, None
            after()

    do_GET = do_POST = do_PUT = _handle

    def query(self) -> dict[str, str]:
        return {k: v[0] for k, v in parse_qs(urlsplit(self.path).query).items()}


def serve(host: str, port: int, respond) -> None:
    """Serve HTTP in the background; respond returns status, headers and body of an answer."""
    handler = type("Handler", (_Handler,), {"respond": staticmethod(respond)})
    server = _Server((host, port), handler)
    threading.Thread(
        target=server.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True
    ).start()


def as_json(status: int, value: object, headers: dict[str, str] | None = None):
    """Return an answer with a JSON body."""
    return (
        status,
        {"Content-Type": "application/json"} | (headers or {}),
        json.dumps(value).encode(),
    )


class Store:
    """The platform's store: range reads, watches, eras."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 10
        self.era = 1
        self.is_away = False
        self.items: dict[str, tuple[int, bytes]] = {}
        self.deleted: dict[str, int] = {}

    def put(self, key: str, value: object) -> None:
        """Write a value as JSON; the return is the acknowledgement."""
        self.put_bytes(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> None:
        """Write a value; the return is the acknowledgement."""
        with self.changed:
            self.revision += 1
            self.items[key] = (self.revision, value)
            self.changed.notify_all()

    def delete(self, key: str) -> None:
        """Remove a key."""
        with self.changed:
            self.revision += 1
            if self.items.pop(key, None) is not None:
                self.deleted[key] = self.revision
            self.changed.notify_all()

    def copy(self):
        """Return a copy to come back from later."""
        with self.changed:
            return self.revision, dict(self.items), dict(self.deleted)

    def go_away(self) -> None:
        """Answer nothing from now on, and cut the watches."""
        with self.changed:
            self.is_away = True
            self.changed.notify_all()

    def come_back(self, copy) -> None:
        """Come back from an older copy, in a new era."""
        with self.changed:
            self.revision, self.items, self.deleted = copy[0], dict(copy[1]), dict(copy[2])
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def respond(self, request, body: bytes):
        if self.is_away:
            return None, {}, b""
        path, query = urlsplit(request.path).path, request.query()
        with self.changed:
            if path == "/daisystack/kv-range":
                return self._range(query)
            if path == "/daisystack/kv-watch":
                return self._watch(query)
        return as_json(404, {})

    def _headers(self) -> dict[str, str]:
        return {"Store-Era": str(self.era)}

    def _item(self, key: str) -> dict:
        revision, value = self.items[key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision, "created_rev": 11, "lease": 0}

    def _range(self, query: dict[str, str]):
        after = query.get("after", "")
        items = [
            self._item(key)
            for key in sorted(self.items)
            if key.startswith(query["prefix"]) and key > after
        ]
        body = {"items": items, "more_pages": False, "as_of": self.revision}
        return as_json(200, body, self._headers())

    def _events(self, prefix: str, after: int) -> list[dict]:
        events = [
            self._item(key)
            for key, (revision, _) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]
        events += [
            {"key": key, "revision": revision, "deleted": True}
            for key, revision in self.deleted.items()
            if key.startswith(prefix) and revision > after
        ]
        return sorted(events, key=lambda event: event["revision"])

    def _watch(self, query: dict[str, str]):
        prefix, after, era = query["prefix"], int(query["after"]), self.era
        until_s = time.monotonic() + int(query["wait_ms"]) / 1000
        while not (events := self._events(prefix, after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0 or self.is_away or self.era != era:
                break
            self.changed.wait(left_s)
        if self.is_away:
            return None, {}, b""
        if self.era != era or after > self.revision:
            return as_json(410, {}, self._headers())
        return as_json(200, {"events": events, "as_of": self.revision}, self._headers())


class PlainRunner:
    """Runner of a plain service: runs each request for work_s and answers with its receipt."""

    def __init__(self, site: Site, runner_id: str, service: str, host: str, work_s: float) -> None:
        self.site, self.id, self.work_s = site, runner_id, work_s
        self.runs: list[tuple[float, str, str | None]] = []
        port = find_free_port(host)
        serve(host, port, self.respond)
        entry = {"service": service, "address": f"{host}:{port}", "zone": "z1", "version": "v1"}
        entry |= {
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
        }
        site.store.put(f"servers/{runner_id}", entry)

    def ran(self) -> set[str]:
        """Return the ids of the requests that have run."""
        return {request_id for _, request_id, _ in list(self.runs)}

    def respond(self, request, body: bytes):
        request_id = request.headers.get("X-Attempt-Id") or ""
        headers = {"X-Attempt-Id": request_id}
        if request.headers.get("X-Expect-Instance") not in (None, self.id):
            return as_json(421, {}, headers | {"X-Not-Executed": "1"})
        tenant = request.headers.get("X-Tenant")
        self.runs.append((time.monotonic(), request_id, tenant))
        self.site.record.write(f"run      {request_id} at {self.id} for tenant {tenant}")
        time.sleep(self.work_s)
        headers["X-Response-Stamp"] = f"{self.id}.{request_id}"
        return as_json(200, {"id": request_id, "tenant": tenant}, headers)


class Origin:
    """Service that sends the weights."""

    def __init__(self, site: Site, host: str) -> None:
        port = find_free_port(host)
        self.address = f"{host}:{port}"
        serve(host, port, self.respond)

    def respond(self, request, body: bytes):
        path, query = path_of(request), request.query()
        version = int(query.get("version", "1"))
        if path.startswith("/daisystack/manifest/"):
            pieces = [build_piece(version, index) for index in range(PIECE_COUNT)]
            manifest = {"model": MODEL, "version": version, "chunk_bytes": PIECE_BYTES}
            manifest |= {"layers": LAYER_COUNT}
            manifest["digests"] = [hashlib.sha256(piece).hexdigest() for piece in pieces]
            return as_json(200, manifest)
        if path.startswith("/daisystack/piece/"):
            return 200, {}, build_piece(version, int(query["quantity"]))
        return as_json(404, {})


class ModelRunner:
    """Model runner beside an agent: holds staged pieces, loads them when ordered, and streams."""

    def __init__(self, site: Site, runner_id: str, host: str, version: int = 1) -> None:
        self.site, self.id, self.version = site, runner_id, version
        self.order_count = 0
        self.is_busy = False
        self.lock = threading.RLock()
        # Of the weights that are loaded, the pieces that were spoilt and since when.
        self.loaded_spoilt: dict[int, float] = {}
        self.staged = {i: build_piece(version, i) for i in range(PIECE_COUNT)} if version else {}
        self.spoilt_s: dict[int, float] = {}
        self.runs: list[str] = []
        port = find_free_port(host)
        self.address = f"{host}:{port}"
        serve(host, port, self.respond)
        self.publish()

    def publish(self) -> None:
        """Write this runner's entry in the store."""
        entry = {"service": "llm", "address": self.address, "zone": "z1", "version": "v1"}
        entry |= {"slots": 16, "state": "ready", "cold_left_ms": 0, "seq": 1}
        self.site.store.put(f"servers/{self.id}", entry | self._state())

    def _state(self) -> dict:
        has = self.version > 0
        models = [{"name": MODEL, "version": self.version, "adapters": []}] if has else []
        layers = [{"from": 0, "to": LAYER_COUNT, "version": self.version}] if has else []
        state = {"stage": "both", "models": models, "layers": layers}
        return state | {"born": 1_700_000_000_000}

    def respond(self, request, body: bytes):
        path, query = path_of(request), request.query()
        if path == "/daisystack/report":
            load = {"busy": self.is_busy, "seq": self.order_count, "queued": 0, "running": 0}
            load |= {"kv_used": 0, "kv_total": 1_640_000, "handles": 0}
            return as_json(200, self._state() | load)
        if path.startswith("/daisystack/stage-put/"):
            return self.put_piece(request, int(query["quantity"]), body)
        if path.startswith("/daisystack/stage-get/"):
            if "quantity" not in query:
                return as_json(200, {"held": sorted(self.staged)})
            return self.get_piece(request, int(query["quantity"]))
        if path == "/daisystack/order":
            return self.order(json.loads(body))
        return self.run(request)

    def put_piece(self, request, index: int, body: bytes):
        with self.lock:
            self.staged[index] = body
            self.spoilt_s.pop(index, None)
        return as_json(200, {})

    def get_piece(self, request, index: int):
        piece = self.staged.get(index)
        return as_json(404, {}) if piece is None else (200, {}, piece)

    def spoil(self, index: int) -> None:
        """Let a staged piece turn bad now."""
        with self.lock:
            self.staged[index] = bytes(PIECE_BYTES)
            self.spoilt_s[index] = time.monotonic()
        self.site.record.write(f"rot      piece {index} staged at {self.id} turns bad")

    def order(self, order: dict):
        with self.lock:
            if order.get("expected", self.order_count) != self.order_count or self.is_busy:
                return as_json(409, {})
            self.order_count += 1
            self.is_busy = True
            at_s, version = time.monotonic(), order["version"]
            right = {i: build_piece(version, i) for i in range(PIECE_COUNT)}
            wrong = [i for i in right if self.staged.get(i) != right[i]]
            self.loaded_spoilt = {i: at_s - self.spoilt_s.get(i, at_s) for i in wrong}
        text = f"order    {self.id} loads version {version}, of which are wrong: "
        self.site.record.write(
            text + str({i: f"for {s:.2f} s" for i, s in self.loaded_spoilt.items()})
        )
        threading.Thread(target=self._load, args=(version,), daemon=True).start()
        return as_json(202, {})

    def _load(self, version: int) -> None:
        time.sleep(0.3)
        self.version = version
        self.is_busy = False
        self.publish()

    def run(self, request):
        request_id = request.headers.get("X-Attempt-Id") or ""
        headers = {"X-Attempt-Id": request_id}
        if request.headers.get("X-Expect-Instance") not in (None, self.id):
            return as_json(421, {}, headers | {"X-Not-Executed": "1"})
        if self.is_busy or not self.version:
            return as_json(503, {}, headers | {"X-Not-Executed": "1"})
        self.runs.append(request_id)
        self.site.record.write(f"run      {request_id} at {self.id} on version {self.version}")
        headers |= {"X-Response-Stamp": f"{self.id}.{request_id}"}
        headers |= {"X-Weight-Versions": str(self.version), "Content-Type": "text/event-stream"}
        return 200, headers, b"".join(b"id: %d\ndata: token\n\n" % n for n in range(1, 6))


class Answer:
    """What a consumer received; status 0 if the channel ended without a complete answer."""

    def __init__(
        self, status: int, body: bytes = b"", reason: str = "", closes: bool = False
    ) -> None:
        self.status, self.body, self.reason, self.closes = status, body, reason, closes


class Channel:
    """One channel of a consumer to an entry."""

    def __init__(self, site: Site, address: str) -> None:
        self.site, self.address = site, address
        host, _, port = address.rpartition(":")
        self._http = http.client.HTTPConnection(host, int(port), timeout=8)

    def open(self) -> None:
        self._http.connect()

    def send(
        self,
        request_id: str,
        path: str,
        key: str | None = None,
        method: str = "POST",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request and wait for its answer."""
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "3000",
            **(headers or {}),
        }
        if key is not None:
            headers["Api-Key"] = key
        self.site.record.write(f"sent     {request_id} {method} {path} key {key} to {self.address}")
        try:
            self._http.request(
                method, path, body=b"{}" if method == "POST" else None, headers=headers
            )
            response = self._http.getresponse()
            closes = response.getheader("Connection", "").lower() == "close"
            answer = Answer(response.status, response.read(), closes=closes)
        except (OSError, http.client.HTTPException) as error:
            answer = Answer(0, reason=repr(error))
        text = answer.status or f"no answer: {answer.reason}"
        self.site.record.write(f"answered {request_id} {text}")
        return answer

    def close(self) -> None:
        self._http.close()


def send_draft(site: Site, number: int, request_id: str) -> Answer:
    """Send a request for a generation to an entry."""
    headers = {"X-Model": MODEL, "X-Token-Usage": "100,20", "X-Prompt-Prefix": "5c1e:60,91bd:40"}
    return Channel(site, site.callers(number)).send(
        request_id, "/draft/one", "key-1", headers=headers
    )


class Site:
    """The store, and the programs of the deploy file as separate processes."""

    def __init__(self, record_path: Path) -> None:
        self.record = Record(record_path)
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.processes: dict[str, subprocess.Popen] = {}
        self._logs = []
        self.prefix = _find_free_network()
        self.store = Store()
        self.store_host = self.host(1)
        serve(self.store_host, STORE, self.store.respond)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._run = {name: role["run"].split() for name, role in deploy["roles"].items()}

    def host(self, number: int) -> str:
        """Return a loopback address of this site."""
        return f"{self.prefix}.{number}"

    def start(self, role: str, number: int, extra: dict[str, str] | None = None) -> str:
        """Start a program at the loopback address of a number; return its name."""
        name, host = f"{role}-{number}", self.host(number)
        settings = {
            "node_name": name,
            "ip": host,
            "zone": "z1",
            "region": "r1",
            "zones.z1": "r1",
            "listen.front": f"{host}:{CALLERS}",
            "listen.ready": f"{host}:{READY}",
            "listen.control": f"{host}:{PEERS}",
            "listen.directory": f"{host}:{DIRECTORY}",
            "port_range": f"{DATAGRAMS},{DATAGRAMS}",
            "seeds": ",".join(f"{self.host(n)}:{PEERS}" for n in (2, 3)),
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "platform.address": f"{self.store_host}:{STORE}",
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.revoke_strict": "true",
            "bounds.revoke_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "104",
            "bounds.version_ms": "8000",
            "bounds.ttl_max_s": "5",
        } | (extra or {})
        path = Path(self.folder.name) / f"{name}.conf"
        path.write_text("".join(f"{key}={value}\n" for key, value in settings.items()))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["DAISYSTACK_SETTINGS"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = (Path(self.folder.name) / f"{name}.log").open("ab")
        self._logs.append(log)
        self.processes[name] = subprocess.Popen(
            self._run[role],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write(f"start    {name}")
        return name

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a program that this site started."""
        self.record.write(f"{number.name:8} {name}")
        self.processes[name].send_signal(number)

    def log_of(self, name: str) -> str:
        """Return what a program has written so far."""
        return (Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def callers(self, number: int) -> str:
        """Return the address at which an entry accepts callers."""
        return f"{self.host(number)}:{CALLERS}"

    def is_ready(self, number: int) -> bool:
        """Return whether an entry says that it is ready."""
        return self._get(number, READY, "/daisystack/ready")[0] == 200

    def resolve(self, number: int) -> list[str]:
        """Return the addresses that the directory of an entry names."""
        path = f"/daisystack/resolve?name={HOST}&region=r1&zone=z1"
        status, body = self._get(number, DIRECTORY, path)
        return json.loads(body)["addresses"] if status == 200 else []

    def _get(self, number: int, port: int, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection(self.host(number), port, timeout=1)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def wait_for(self, what: str, condition, timeout_s: float = 20.0) -> None:
        """Wait until a condition holds; raise CouldNotRun if it doesn't in time."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise CouldNotRun(f"{what}: not within {timeout_s} s")
            time.sleep(0.02)

    def stop(self) -> None:
        """End all programs that this site started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self._logs:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.folder.name).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self.folder.cleanup()


def run_case(script: str, case) -> None:
    """Run a case, which returns the broken rules as texts; exit with the case's status."""
    site = None
    status = COULD_NOT_RUN
    try:
        site = Site(Path(script).resolve().parent / "record.txt")
        broken = case(site)
        for text in broken:
            site.record.write(f"BROKEN   {text}")
            print(f"BROKEN: {text}")
        status = BROKEN if broken else HELD
        site.record.write("the rule was broken" if broken else "the rule held")
    except CouldNotRun as error:
        print(f"could not run: {error}")
    except Exception:  # a fault of the script must not pass for a broken rule
        traceback.print_exc()
    finally:
        if site is not None:
            site.stop()
    print({HELD: "the rule held", BROKEN: "the rule was broken"}.get(status, "no result"))
    sys.stdout.flush()
    os._exit(status)


def find_free_port(host: str) -> int:
    """Return a port that nothing uses at a loopback address."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def _find_free_network() -> str:
    """Return the first three numbers of loopback addresses with all ports free that are needed."""
    for _ in range(50):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        ports = (METRICS_PORT, CALLERS, READY, PEERS, DIRECTORY, STORE)
        if all(_is_free(f"{prefix}.{number}", port) for number in range(1, 40) for port in ports):
            return prefix
    raise CouldNotRun("no loopback addresses with free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def build_config(version: int, tenants: list[dict], extra_routes: int = 0) -> dict:
    """Return a configuration with a route of each plain kind, and any number of idle ones."""
    route = {"host": HOST, "timeout_ms": 3000, "target_latency_ms": 400, "priority": 1}
    route |= {"max_attempts": 2, "public": False, "service": "ledger"}
    routes = [
        route | {"name": "r-post", "prefix": "/post/", "kind": "unsafe"},
        route | {"name": "r-read", "prefix": "/read/", "kind": "safe"},
    ]
    routes += [
        route | {"name": f"r-idle-{n}", "prefix": f"/idle{n}/v{version}/", "kind": "safe"}
        for n in range(extra_routes)
    ]
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": "ledger", "max_connections": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }


def build_engine_config(version: int, origin: Origin) -> dict:
    """Return a configuration of one service of model runners, whose weights an origin sends."""
    engine = {"models": [{"name": MODEL, "warm_s": 0.3}], "stride": 6, "step_ms": 6.73}
    engine |= {"read_per_s": 30600.0, "chunk": 2048, "usual": {"prompt": 964, "answer": 119}}
    engine |= {"layers": LAYER_COUNT, "chunks": PIECE_COUNT, "chunk_bytes": PIECE_BYTES}
    config = build_config(version, [{"name": "dealers", "api_keys": ["key-1"]}])
    route = {"name": "r-draft", "host": HOST, "prefix": "/draft/", "kind": "streaming"}
    route |= {"timeout_ms": 6000, "target_latency_ms": 405, "priority": 1, "service": "llm"}
    route |= {"max_attempts": 2, "public": False, "session_affinity": True}
    config["routes"].append(route | {"stream_resume": True, "gap_aim_ms": 300})
    portal = {"name": "portal", "origin": origin.address, "max_connections": 48, "zone": "z1"}
    config["services"] += [{"name": "llm", "max_connections": 364, "engine": engine}, portal]
    return config


@functools.lru_cache(maxsize=1024)
def build_piece(version: int, index: int) -> bytes:
    """Return the bytes of a piece of the weights."""
    return hashlib.sha256(f"{version}/{index}".encode()).digest() * (PIECE_BYTES // 32)


def path_of(request) -> str:
    """Return the decoded path of a request."""
    return unquote(urlsplit(request.path).path)
