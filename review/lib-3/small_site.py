"""Small site on loopback for the cases of the third review.

The entries are the project's own program, started with the command of the deploy file. The store,
the runners and the clients are small stand-ins of this review; they need only the standard library.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / "target" / "deps"
HOST = "site.example"
# Of deploy/system.toml, at each entry's address.
METRICS_PORT = 7714
# Each program has a loopback address of its own, since they use the same ports, and each run has
# its own addresses, so that runs beside each other don't meet.
PREFIX = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(250) + 1}"
STORE_IP = f"{PREFIX}.1"
ENTRY_IPS = [f"{PREFIX}.{10 + i}" for i in range(9)]
RUNNER_IPS = [f"{PREFIX}.{40 + i}" for i in range(9)]


class CaseFailed(Exception):
    """The case could not run."""


def trouble() -> bool:
    """Return whether the disruption is wanted."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """record.txt beside the script: what was sent, answered and run."""

    def __init__(self, folder: Path) -> None:
        self._stream = (folder / "record.txt").open("w")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the time since the start."""
        with self._lock:
            self._stream.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
            self._stream.flush()


class Store:
    """The platform's store: reads and watches of keys, with one counter of revisions."""

    def __init__(self, ip: str = STORE_IP) -> None:
        self.items: dict[str, tuple[int, bytes]] = {}
        self.deleted: dict[str, int] = {}
        self.revision = 1
        self._changed = threading.Condition()
        self.port = free_port(ip)
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def log_message(self, *args) -> None:
                pass

            def do_GET(self) -> None:
                parts = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(parts.query).items()}
                if parts.path.endswith("/kv-range"):
                    body = store.range(query.get("prefix", ""), query.get("after", ""))
                elif parts.path.endswith("/kv-watch"):
                    body = store.watch(query["prefix"], int(query["after"]), int(query["wait_ms"]))
                else:
                    body = {}
                out = json.dumps(body).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(out)))
                self.end_headers()
                self.wfile.write(out)

        self.server = _Server((ip, self.port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()
        self.address = f"{ip}:{self.port}"

    def put(self, key: str, value: object) -> None:
        """Write a value; it is acknowledged when this returns."""
        with self._changed:
            self.revision += 1
            self.items[key] = (self.revision, json.dumps(value).encode())
            self.deleted.pop(key, None)
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Delete a key."""
        with self._changed:
            if self.items.pop(key, None) is not None:
                self.revision += 1
                self.deleted[key] = self.revision
                self._changed.notify_all()

    def _item(self, key: str) -> dict:
        revision, value = self.items[key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision, "created_rev": 1, "lease": 0}

    def range(self, prefix: str, after: str) -> dict:
        """Return the items under a prefix."""
        with self._changed:
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            items = [self._item(k) for k in keys]
            return {"items": items, "more_pages": False, "as_of": self.revision}

    def _events(self, prefix: str, after: int) -> list[dict]:
        keys = [k for k, (r, _) in self.items.items() if k.startswith(prefix) and r > after]
        gone = [(k, r) for k, r in self.deleted.items() if k.startswith(prefix) and r > after]
        events = [self._item(k) for k in keys]
        events += [{"key": k, "revision": r, "deleted": True} for k, r in gone]
        return sorted(events, key=lambda event: event["revision"])

    def watch(self, prefix: str, after: int, wait_ms: int) -> dict:
        """Return the events after a revision as soon as there are any."""
        with self._changed:
            self._changed.wait_for(lambda: self._events(prefix, after), wait_ms / 1000)
            return {"events": self._events(prefix, after), "as_of": self.revision}


class _Server(ThreadingHTTPServer):
    """Server whose threads end with the process; a lost connection is no news."""

    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address) -> None:
        """Leave out the traceback of a connection that its client has closed."""


def free_port(ip: str) -> int:
    """Return a port that is free at an address now."""
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def free_ports(ip: str, count: int) -> list[int]:
    """Return different ports that are free at an address now, two apart or more."""
    found: list[int] = []
    while len(found) < count:
        port = free_port(ip)
        if all(abs(port - other) > 1 for other in found):
            found.append(port)
    return found


def entry_command() -> list[str]:
    """Return the command of the deploy file that runs an entry."""
    words = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["entry"]["run"]
    return words.split()


class Site:
    """Entries, a store and runners, all on loopback."""

    def __init__(self, folder: Path, entries: int = 2, bounds: dict | None = None) -> None:
        if not (DEPS / "eventlet").is_dir():
            raise CaseFailed("target/deps is missing: run the build line of deploy/system.toml")
        self.record = Record(folder)
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.entries = entries
        self.bounds = bounds or {}
        self.store = Store()
        self.processes: dict[str, subprocess.Popen] = {}
        self._next_request = 0
        # The same ports at the address of each program, as on the platform.
        names = ("front", "ready", "control", "directory", "range")
        self.ports = dict(zip(names, free_ports(ENTRY_IPS[0], len(names)), strict=True))
        if METRICS_PORT in self.ports.values() or listens(f"{ENTRY_IPS[0]}:{METRICS_PORT}"):
            raise CaseFailed("the port of the metrics is taken")

    # Processes

    def environment(self) -> dict[str, str]:
        """Return the environment that programs get by the deploy page, and Python's path."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        return kept | {"PYTHONPATH": str(DEPS)}

    def settings(self, index: int) -> str:
        """Return the settings file of an entry."""
        ip, ports = ENTRY_IPS[index], self.ports
        seeds = ",".join(f"{i}:{ports['control']}" for i in ENTRY_IPS[: min(3, self.entries)])
        fields = {
            "node_name": f"front-{index}",
            "role": "entry",
            "machine_class": "front",
            "serves": "front,control,directory",
            "ip": ip,
            "zone": "mtl-a",
            "region": "mtl",
            "zones.mtl-a": "mtl",
            "listen.front": f"{ip}:{ports['front']}",
            "listen.ready": f"{ip}:{ports['ready']}",
            "listen.control": f"{ip}:{ports['control']}",
            "listen.directory": f"{ip}:{ports['directory']}",
            "port_range": f"{ports['range']},{ports['range'] + 1}",
            "seeds": seeds,
            "bootstrap": "true",
            "limits.cpu_share": "0.537",
            "limits.cores": "2",
            "limits.memory_mb": "300",
            "limits.max_fds": "4100",
            "limits.link_mbps": "1000.0",
            "heartbeat_ms": "1200",
            "platform.address": self.store.address,
            "bounds.stable_window_ms": "3000",
            "bounds.drain_ms": "2000",
            "bounds.grace_s": "8",
            "bounds.config_apply_ms": "2000",
            "bounds.revoke_ms": "5000",
            "bounds.retry_budget_ratio": "0.2",
            "bounds.budget_window_s": "10",
            "bounds.budget_slack": "104",
            "bounds.version_ms": "8000",
            "bounds.ttl_max_s": "5",
        } | self.bounds
        return "".join(f"{name}={value}\n" for name, value in fields.items())

    def start_entry(self, index: int) -> None:
        """Start an entry with the command of the deploy file."""
        path = self.folder / f"front-{index}.conf"
        path.write_text(self.settings(index))
        log = (self.folder / f"front-{index}.log").open("ab")
        self.processes[f"front-{index}"] = subprocess.Popen(
            entry_command(),
            cwd=ROOT,
            env=self.environment() | {"DAISYSTACK_SETTINGS": str(path)},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.write(f"front-{index} started")

    def start_runner(self, name: str, index: int, **options: object) -> str:
        """Start a runner stand-in as a process; return its address once it listens."""
        address = f"{RUNNER_IPS[index]}:{options.pop('port', None) or free_port(RUNNER_IPS[index])}"
        log = (self.folder / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, str(Path(__file__).with_name("runner.py")), name, address]
            + [f"{key}={value}" for key, value in options.items()],
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.wait_for(lambda: listens(address), f"{name} listens")
        return address

    def publish_runner(self, name: str, service: str, address: str, born: int, **fields) -> None:
        """Write a runner's entry as the platform lists it."""
        entry = {"service": service, "address": address, "zone": "mtl-a", "version": "v1"}
        entry |= {"slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 1, "born": born}
        self.store.put(f"servers/{name}", entry | fields)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this site."""
        self.processes[name].send_signal(number)
        self.record.write(f"{number.name} to {name}")

    def kill(self, name: str) -> None:
        """Kill a process of this site and wait for its end."""
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def stop(self) -> None:
        """End all processes that this site started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self._temporary.cleanup()

    # Questions

    def wait_for(self, condition, what: str, timeout_s: float = 20.0) -> None:
        """Wait until a condition holds; raise CaseFailed."""
        until_s = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > until_s:
                raise CaseFailed(f"not in {timeout_s} s: {what}")
            time.sleep(0.05)

    def is_ready(self, index: int) -> bool:
        """Ask an entry as the platform does whether it is ready."""
        return self.get(index, "ready", "/daisystack/ready")[0] == 200

    def addresses(self, index: int) -> list[str]:
        """Ask an entry's directory as a client does; [] if it gives no answer."""
        path = f"/daisystack/resolve?name={HOST}&region=mtl&zone=mtl-a"
        status, body = self.get(index, "directory", path)
        return json.loads(body)["addresses"] if status == 200 else []

    def get(self, index: int, port: str, path: str, timeout_s: float = 1.0) -> tuple[int, bytes]:
        """Return status and body of a platform's or a client's question; status 0 for none."""
        ip = ENTRY_IPS[index]
        connection = http.client.HTTPConnection(ip, self.ports[port], timeout=timeout_s)
        try:
            connection.request("GET", path)
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def request_id(self) -> str:
        """Return the id of a new client attempt."""
        self._next_request += 1
        return f"a{self._next_request:06d}"

    def call(
        self,
        index: int,
        path: str,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, dict, bytes]:
        """Send a client's request on a new connection; return status (0: none), headers, body."""
        attempt_id = self.request_id()
        sent = {"Host": HOST, "X-Attempt-Id": attempt_id, "X-Deadline-Ms": "3000"} | (headers or {})
        connection = http.client.HTTPConnection(
            ENTRY_IPS[index], self.ports["front"], timeout=timeout_s
        )
        try:
            connection.request(method, path, body, sent)
            answer = connection.getresponse()
            result = answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
        except (OSError, http.client.HTTPException) as error:
            result = 0, {}, repr(error).encode()
        finally:
            connection.close()
        stamp = result[1].get("x-response-stamp", "-")
        self.record.write(
            f"client {attempt_id} {method} {path} at front-{index}: {result[0]} stamp {stamp} "
            f"{result[2][:100]!r}"
        )
        return result


class CrashedRunners:
    """Runners of a service, each started again some seconds after a crash, with a new id."""

    # "the runner is back after some seconds"
    DOWN_S = 2.0

    def __init__(self, site: Site, service: str, count: int, **options: object) -> None:
        self.site, self.service, self.options = site, service, options
        self.lives = 0
        self.names = [""] * count
        self.back_s = [0.0] * count
        self.crashes: list[float] = []
        for index in range(count):
            self._start(index)

    def _start(self, index: int) -> None:
        self.lives += 1
        name = self.names[index] = f"ledger-{self.lives}"
        address = self.site.start_runner(name, index, **self.options)
        self.site.publish_runner(name, self.service, address, born=1000 + self.lives)

    def tend(self, for_s: float) -> None:
        """Notice crashes, and start crashed runners again, for some time."""
        until_s = time.monotonic() + for_s
        while time.monotonic() < until_s:
            for index, name in enumerate(self.names):
                if name and self.site.processes[name].poll() is not None:
                    self.crashes.append(time.monotonic())
                    self.site.record.write(f"{name} crashed, {len(self.crashes)} in all")
                    self.site.store.delete(f"servers/{name}")
                    self.names[index] = ""
                    self.back_s[index] = time.monotonic() + self.DOWN_S
                elif not name and time.monotonic() >= self.back_s[index]:
                    self._start(index)
            time.sleep(0.05)


def listens(address: str) -> bool:
    """Return whether something accepts connections at an address."""
    ip, port = address.rsplit(":", 1)
    with socket.socket() as probe:
        probe.settimeout(0.5)
        return probe.connect_ex((ip, int(port))) == 0


def build_config(version: int, routes: list[dict], services: list[str], **fields) -> dict:
    """Return a configuration whose services are plain ones."""
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304}
    limits |= {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
    route = {"host": HOST, "kind": "safe", "timeout_ms": 3000, "target_latency_ms": 400}
    route |= {"priority": 1, "max_attempts": 2, "public": True}
    return {
        "version": version,
        "routes": [route | own for own in routes],
        "services": [{"name": name, "max_connections": 110} for name in services],
        "limits": limits | fields.pop("limits", {}),
    } | fields


def run_case(folder: Path, case, entries: int, bounds: dict | None = None) -> int:
    """Run a case; return 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    site = None
    try:
        site = Site(folder, entries, bounds)
        is_broken = case(site)
    except CaseFailed as error:
        print(f"could not run: {error}")
        return 2
    finally:
        if site is not None:
            site.stop()
    print("the rule was broken" if is_broken else "the rule held")
    return 1 if is_broken else 0
