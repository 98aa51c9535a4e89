"""Run the platform's programs and a stand-in for it as separate processes on loopback."""

from __future__ import annotations

import json
import os
import re
import socket
import sys
import sysconfig
import time
import tomllib
from pathlib import Path

import urllib3
from attrs import define, field

from tools.processes import Processes

__all__ = ["Answer", "PlatformSite", "interpreter_flags"]

DEPLOY_FILE = Path(__file__).parents[3] / "deploy" / "system.toml"

HOST = "127.0.0.1"
API_KEY = "key-of-the-dealers"
READY_TIMEOUT_S = 20.0
POLL_S = 0.05
# Port at which programs serve their metrics, from the deploy file.
METRICS_PORT = 7714
STANDIN_MODULE = "daisystack.tests.on_platform.standin"
# Port offsets, the same for all programs, since each has a loopback address of its own.
CALLERS, READY, PEERS, DIRECTORY, DATAGRAMS = range(10, 15)
FIRST_HOST = 2
# Below the ephemeral range, so that no outgoing connection takes one of the site's ports.
FIRST_PORT, LAST_PORT, PORT_COUNT = 25_000, 32_000, 20


@define
class Answer:
    """Response that a caller received; status 0 means none."""

    status: int
    body: bytes
    headers: dict[str, str]


@define(eq=False)
class PlatformSite:
    """Processes of a small site: a stand-in, entries, and an agent for each engine."""

    folder: Path
    entries: int = 2
    models: int = 2
    # Region of entries and agents by their name; those not listed are in the first region.
    regions: dict[str, str] = field(factory=dict)
    # Names of the programs that can't reach the platform.
    offline: frozenset[str] = frozenset()
    # Last number of the first program's loopback address.
    first_host: int = FIRST_HOST
    # Loopback addresses of entries and agents begin with this.
    host_prefix: str = "127.0.0."
    base_port: int = field(factory=lambda: _find_free_ports(PORT_COUNT))
    # Script that runs an entry or an agent.
    program: str = "platform/serve.py"
    processes: Processes = field(init=False)
    _http: urllib3.PoolManager = field(factory=lambda: urllib3.PoolManager(retries=False))
    _request_count: int = 0

    def __attrs_post_init__(self) -> None:
        self.processes = Processes(self.folder, (sys.executable, *interpreter_flags()))
        # A deployment has its dependencies on Python's path, not among the site packages.
        os.environ["PYTHONPATH"] = sysconfig.get_path("purelib")

    def start(self) -> None:
        """Start all processes and wait until every entry is ready; raises TimeoutError."""
        self.processes.start("standin", "-m", STANDIN_MODULE, str(self.base_port))
        self.wait_for(lambda: self._is_listening(self.base_port))
        for index in range(self.entries):
            self.start_entry(index)
        for index in range(self.models):
            self.start_role("agent", index, self.entries + index)
        self.wait_for(lambda: all(self.is_ready(i) for i in range(self.entries)))
        # Entries discover each other within a few rounds of gossip.
        entry_indexes = range(self.entries)
        self.wait_for(lambda: all(self._knows_all_entries(i) for i in entry_indexes))

    def start_entry(self, index: int) -> None:
        """Start the entry with this index."""
        self.start_role("entry", index)

    def start_role(self, role: str, index: int, host_index: int | None = None) -> None:
        """Start a role under its index, on the host of that index unless another one is given."""
        host = self._host(index if host_index is None else host_index)
        self._start_program(f"{role}-{index}", role, host)

    def metrics_host(self, index: int) -> tuple[str, int]:
        """Return host and port of the metrics of the program on a host."""
        return self._host(index), METRICS_PORT

    def start_runner(self, port: int) -> str:
        """Start a plain runner in its own process, which a request can crash; return its name."""
        name = f"runner-{port}"
        runner_port = str(self.base_port + port)
        self.processes.start(name, "-m", STANDIN_MODULE, runner_port, name)
        self.wait_for(lambda: self._is_listening(self.base_port + port))
        return name

    def _knows_all_entries(self, index: int) -> bool:
        if self.live_peer_count(index) < self.entries - 1:
            return False
        # An entry is known to be alive before it is known to be ready. A directory does not list
        # entries of other regions.
        return bool(self.regions) or len(self.addresses(index)) == self.entries

    def live_peer_count(self, index: int) -> int:
        """Return how many other entries an entry considers alive; -1 without the metric."""
        match = re.search(r"^daisystack_live_entries (\d+)", self.metrics(index), re.MULTILINE)
        return int(match[1]) if match else -1

    def is_ready(self, index: int) -> bool:
        """Return whether an entry accepts callers."""
        return self._get(index, READY, "/daisystack/ready").status == 200

    def addresses(self, index: int) -> list[str]:
        """Return the entry addresses in an entry's directory; empty if it can't be read."""
        path = "/daisystack/resolve?name=site.example&zone=" + self._zone(f"entry-{index}")
        answer = self._get(index, DIRECTORY, path)
        return json.loads(answer.body)["addresses"] if answer.status == 200 else []

    def caller_address(self, index: int) -> str:
        """Return the address at which an entry accepts callers."""
        return f"{self._host(index)}:{self.base_port + CALLERS}"

    def metrics(self, index: int) -> str:
        """Return an entry's metrics."""
        return self._request(f"http://{self._host(index)}:{METRICS_PORT}/metrics").body.decode()

    def call(self, index: int, method: str, path: str, key: str | None = API_KEY) -> Answer:
        """Send a caller's request to an entry."""
        self._request_count += 1
        headers = {"Host": "site.example", "X-Attempt-Id": f"r{self._request_count}"}
        headers |= {"X-Deadline-Ms": "3000"}
        if key is not None:
            headers["Api-Key"] = key
        if path.startswith("/draft/"):
            headers |= {"X-Model": "m1", "X-Token-Usage": "100,20"}
        body = b"{}" if method == "POST" else None
        return self._request(f"http://{self.caller_address(index)}{path}", method, body, headers)

    def publish(self, key: str, value: object) -> None:
        """Publish a value under a key of the store."""
        url = f"http://{HOST}:{self.base_port}/publish/{key}"
        self._request(url, "PUT", json.dumps(value).encode(), {})

    def drill(self, step: str) -> None:
        """Let the store keep a copy of itself, or come back from it in a new era."""
        self._request(f"http://{HOST}:{self.base_port}/drill/{step}", "PUT", b"{}", {})

    def engine_version(self, index: int) -> int:
        """Return the version that an engine reports as loaded, or 0."""
        url = f"http://{HOST}:{self.base_port + 3 + index}/daisystack/report"
        models = json.loads(self._request(url).body)["models"]
        return models[0]["version"] if models else 0

    def wait_for(self, condition, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Wait until a condition is true and return the elapsed seconds; raises TimeoutError."""
        started_s = time.monotonic()
        while not condition():
            if time.monotonic() - started_s > timeout_s:
                raise TimeoutError(f"condition did not become true within {timeout_s} s")
            time.sleep(POLL_S)
        return time.monotonic() - started_s

    def stop(self) -> None:
        """Stop all processes."""
        self.processes.kill_all()

    def _get(self, index: int, port: int, path: str) -> Answer:
        return self._request(f"http://{self._host(index)}:{self.base_port + port}{path}")

    def _request(
        self,
        url: str,
        method: str = "GET",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request to any process; status 0 means that it did not answer."""
        try:
            response = self._http.request(method, url, body=body, headers=headers, timeout=5.0)
        except (urllib3.exceptions.HTTPError, OSError):
            return Answer(0, b"", {})
        return Answer(response.status, response.data, dict(response.headers))

    def _host(self, index: int) -> str:
        return f"{self.host_prefix}{self.first_host + index}"

    def _region(self, name: str) -> str:
        return self.regions.get(name, "r1")

    def _zone(self, name: str) -> str:
        return "z" + self._region(name)[1:]

    def _is_listening(self, port: int) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((HOST, port)) == 0

    def extra_settings(self, name: str) -> dict[str, str]:
        """Return settings of a program that replace or complete those of every site."""
        return {}

    def _start_program(self, name: str, role: str, host: str) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / f"{name}.conf"
        path.write_text(self._settings(name, host))
        os.environ["DAISYSTACK_SETTINGS"] = str(path)
        self.processes.start(name, self.program, role)

    def _settings(self, name: str, host: str) -> str:
        index = int(name.rpartition("-")[2])
        port = self.base_port
        settings = {
            "node_name": name,
            "ip": host,
            "zone": self._zone(name),
            "region": self._region(name),
            "listen.front": f"{host}:{port + CALLERS}",
            "listen.ready": f"{host}:{port + READY}",
            "listen.control": f"{host}:{port + PEERS}",
            "listen.directory": f"{host}:{port + DIRECTORY}",
            "port_range": f"{port + DATAGRAMS},{port + DATAGRAMS}",
            "seeds": f"{self._host(0)}:{port + PEERS}",
            "limits.link_mbps": "1000",
            "app": f"{HOST}:{port + 3 + index}",
            "service": "pool",
            # Nothing listens on the last of the site's ports.
            "platform.address": f"{HOST}:{port + PORT_COUNT - 1 if name in self.offline else port}",
            "bounds.grace_s": "8",
            "bounds.version_ms": "8000",
            "bounds.revoke_ms": "5000",
            "bounds.budget_slack": "100",
        } | self.extra_settings(name)
        return "".join(f"{key}={value}\n" for key, value in settings.items())


def interpreter_flags() -> list[str]:
    """Return the flags of the interpreter in the deploy file."""
    roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
    _, *words = roles["entry"]["run"].split()
    return words[: words.index("platform/serve.py")]


def _find_free_ports(count: int) -> int:
    """Return the first of consecutive free ports; raises OSError if there are not enough."""
    for first_port in range(FIRST_PORT, LAST_PORT, count):
        if all(_is_free(port) for port in range(first_port, first_port + count)):
            return first_port
    raise OSError(f"no {count} consecutive free ports between {FIRST_PORT} and {LAST_PORT}")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
