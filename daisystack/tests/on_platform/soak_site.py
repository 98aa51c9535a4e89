"""Site of the soak: relays on the links, upstreams in processes of their own, its requests."""

from __future__ import annotations

import json
import os
import socket
from pathlib import Path

from attrs import asdict, define, field, frozen

from daisystack.core.addresses import Address
from daisystack.tests.on_platform.site import (
    CALLERS,
    DIRECTORY,
    METRICS_PORT,
    PEERS,
    STANDIN_MODULE,
    PlatformSite,
)
from daisystack.tests.on_platform.standin import MODEL, build_config
from daisystack.tests.on_platform.upstream import UpstreamOptions
from tools.relay import Relay

__all__ = [
    "KEPT_KEYS",
    "PLANTED_VARIABLE",
    "AnswerHeaders",
    "Bounds",
    "RequestShape",
    "SoakSite",
    "read_answer_headers",
]

# Names the fault that planted.py puts into the programs.
PLANTED_VARIABLE = "DAISYSTACK_PLANTED"
UPSTREAM_MODULE = "daisystack.tests.on_platform.upstream"
# Ports at each loopback address; programs use those that PlatformSite names.
UPSTREAM_PORT, UPSTREAM_RELAY_PORT, STORE_RELAY_PORT, CALLER_RELAY_PORT = 3, 4, 5, 6
FIRST_UPSTREAM_HOST = 150
SECOND_NUMBERS = range(1, 250)
STREAM_EVENTS = 12
# Few enough that requests queue at times, and enough for all callers in calm.
ENGINE_SLOTS, PLAIN_SLOTS = 4, 3
KEPT_KEYS = 2


@frozen
class Bounds:
    """Bounds that the site's settings state and the checks hold the programs to."""

    config_s: float = 2.0
    drain_s: float = 2.0
    revoke_s: float = 4.0
    version_s: float = 6.0
    grace_s: float = 8.0
    retry_ratio: float = 0.2
    retry_slack: int = 20
    retry_window_s: float = 10.0

    def as_settings(self) -> dict[str, str]:
        """Return the bounds under the names of the settings file."""
        return {
            "bounds.config_apply_ms": str(int(self.config_s * 1000)),
            "bounds.drain_ms": str(int(self.drain_s * 1000)),
            "bounds.revoke_ms": str(int(self.revoke_s * 1000)),
            "bounds.version_ms": str(int(self.version_s * 1000)),
            "bounds.grace_s": str(int(self.grace_s)),
            "bounds.retry_budget_ratio": str(self.retry_ratio),
            "bounds.budget_slack": str(self.retry_slack),
            "bounds.budget_window_s": str(int(self.retry_window_s)),
        }


@frozen
class RequestShape:
    """What a caller sends for one request; key is the number of an API key, 0 for none."""

    id: str
    kind: str
    key: int
    deadline_s: float
    probed_config: int = 0

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return "GET" if self.kind in ("read", "probe") else "POST"

    @property
    def path(self) -> str:
        """Return the path, which no other request has unless it probes a configuration."""
        if self.kind == "probe":
            return f"/c{self.probed_config}/{self.id}"
        return f"/{self.kind}/{self.id}"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream."""
        return self.kind in ("draft", "tale")

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.kind not in ("post", "tale")

    def headers(self) -> dict[str, str]:
        """Return the request's headers."""
        headers = {"Host": "site.example", "X-Attempt-Id": self.id}
        headers["X-Deadline-Ms"] = str(int(self.deadline_s * 1000))
        if self.key:
            headers["Api-Key"] = f"key-{self.key}"
        if self.is_stream:
            headers |= {"X-Model": MODEL, "X-Token-Usage": f"50,{STREAM_EVENTS}"}
        return headers

    def find_fault(self, body: bytes) -> tuple[str, int]:
        """Return what is wrong with the body of a success, or "", and a stream's version."""
        if self.is_stream:
            return self._find_stream_fault(body)
        expected = {"id": self.id, "path": self.path}
        expected["workspace"] = "dealers" if self.key else None
        try:
            received = json.loads(body)
        except ValueError:
            received = body[:80]
        fault = "" if received == expected else f"got body {received!r}, expected {expected!r}"
        return fault, 0

    def _find_stream_fault(self, body: bytes) -> tuple[str, int]:
        events = [part.split(b"\n") for part in body.split(b"\n\n") if part]
        try:
            numbers = [int(lines[0].removeprefix(b"id: ")) for lines in events]
            data = [json.loads(lines[1].removeprefix(b"data: ")) for lines in events]
        except (ValueError, IndexError):
            return f"got malformed events {body[:80]!r}", 0
        if {event["id"] for event in data} - {self.id}:
            return "got events of another request", 0
        versions = sorted({event["version"] for event in data})
        if len(versions) > 1 or versions and versions[0] <= 0:
            return f"got events of versions {versions}", 0
        if numbers != list(range(1, STREAM_EVENTS + 1)):
            return f"got events {numbers}, expected 1 to {STREAM_EVENTS}", 0
        return "", versions[0]


@frozen
class AnswerHeaders:
    """Request id of an answer, the id of its upstream ("" for none), and what that says."""

    request_id: str
    upstream: str
    is_leaving: bool
    rate_limit: str


def read_answer_headers(headers: dict[str, str]) -> AnswerHeaders:
    """Return what the headers of an answer say."""
    upstream = headers.get("x-response-stamp", "").rpartition(".")[0]
    return AnswerHeaders(
        headers.get("x-attempt-id", ""),
        upstream,
        "server-leaving" in headers,
        headers.get("server-limit", ""),
    )


@define(eq=False)
class SoakSite(PlatformSite):
    """Site whose links lead through relays and whose upstreams are processes of their own."""

    entries: int = 3
    models: int = 3
    plain_count: int = 2
    bounds: Bounds = Bounds()
    host_prefix: str = field(factory=lambda: _find_free_prefix())
    # Relays by the name of their link: store:N and callers:N of entry N, upstream:NAME.
    relays: dict[str, Relay] = field(factory=dict)

    @property
    def store_host(self) -> str:
        """Return the loopback address of the stand-in's store and origin."""
        return f"{self.host_prefix}1"

    def upstream_names(self) -> list[str]:
        """Return the names of all upstreams, which stay when their ids change."""
        engines = [f"engine-{i}" for i in range(self.models)]
        return engines + [f"plain-{i}" for i in range(self.plain_count)]

    def start(self) -> None:
        """Start all processes and relays and wait until every entry is ready."""
        port = self.base_port
        arguments = ("-m", STANDIN_MODULE, str(port), "store", self.store_host)
        self.processes.start("store", *arguments)
        self.wait_for(lambda: self._accepts(self.store_host, port))
        self.publish("op/config", self.build_config(1))
        self.publish(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
        for index, name in enumerate(self.upstream_names()):
            host = self._upstream_host(index)
            self._add_relay(f"upstream:{name}", host, UPSTREAM_RELAY_PORT, host, UPSTREAM_PORT)
            self.start_upstream(name, name, version=1)
        for index in range(self.entries):
            host = self._host(index)
            self._add_relay(f"store:{index}", host, STORE_RELAY_PORT, self.store_host, 0)
            self._add_relay(f"callers:{index}", host, CALLER_RELAY_PORT, host, CALLERS)
            self.start_entry(index)
        for index in range(self.models):
            self.start_agent(index)
        self.wait_for(lambda: all(self.is_ready(i) for i in range(self.entries)))
        self.wait_for(lambda: all(self._knows_all_entries(i) for i in range(self.entries)))

    def start_agent(self, index: int) -> None:
        """Start the agent of an engine."""
        self._start_program(f"agent-{index}", "agent", self._host(self.entries + index))

    def start_upstream(self, name: str, upstream_id: str, version: int = 0) -> None:
        """Start an upstream under an id; an engine holds the version, or none if it is 0."""
        index = self.upstream_names().index(name)
        host, port = self._upstream_host(index), self.base_port
        is_engine = name.startswith("engine")
        options = UpstreamOptions(
            id=upstream_id,
            service="pool" if is_engine else "ledger",
            listen=f"{host}:{port + UPSTREAM_PORT}",
            published=f"{host}:{port + UPSTREAM_RELAY_PORT}",
            store=f"{self.store_host}:{port}",
            record=str(self.record_path),
            has_engine=is_engine,
            version=version if is_engine else 0,
            slots=ENGINE_SLOTS if is_engine else PLAIN_SLOTS,
            pause_s=0.02 if is_engine else 0.08,
        )
        self.processes.start(name, "-m", UPSTREAM_MODULE, json.dumps(asdict(options)))

    @property
    def record_path(self) -> Path:
        """Return the path of the file in which all upstreams record requests."""
        return self.folder / "upstreams.jsonl"

    def tell_to_leave(self, name: str) -> None:
        """Let an upstream announce that it leaves, and end after its drain time."""
        host = self._upstream_host(self.upstream_names().index(name))
        self._request(f"http://{host}:{self.base_port + UPSTREAM_PORT}/leave", "PUT", b"", {})

    def name_limit(self, name: str, limit: str) -> None:
        """Let an upstream name a limit of requests a second in its answers, or none for ""."""
        host = self._upstream_host(self.upstream_names().index(name))
        url = f"http://{host}:{self.base_port + UPSTREAM_PORT}/limit"
        self._request(url, "PUT", limit.encode(), {})

    def hang_up(self, name: str) -> None:
        """Write a program's settings again with one more seed; the caller sends the signal."""
        path = self.folder / f"{name}.conf"
        seeds = f"{self._host(0)}:{self.base_port + PEERS},{self._host(1)}:{self.base_port + PEERS}"
        lines = [
            f"seeds={seeds}" if line.startswith("seeds=") else line
            for line in path.read_text().splitlines()
        ]
        path.write_text("\n".join(lines) + "\n")

    def build_config(self, version: int) -> dict:
        """Return a configuration; each version adds a route and replaces the oldest API key."""
        config = build_config(f"{self.store_host}:{self.base_port + 1}")
        config["version"] = version
        routes = {route["name"]: route for route in config["routes"]}
        probe = routes["read"]
        config["routes"] += [
            routes["draft"] | {"name": "tale", "prefix": "/tale/", "stream_resume": False},
            *(probe | {"name": f"c{n}", "prefix": f"/c{n}/"} for n in range(1, version + 1)),
        ]
        keys = [f"key-{n}" for n in range(max(1, version - KEPT_KEYS + 1), version + 1)]
        config["tenants"] = [{"name": "dealers", "api_keys": keys, "priority": 1}]
        return config

    def publish_config(self, version: int) -> bool:
        """Publish a version of the configuration; return whether the store acknowledged it."""
        return self._put("/publish/op/config", self.build_config(version))

    def publish_weights(self, version: int) -> bool:
        """Name a version of the weights; return whether the store acknowledged it."""
        return self._put(f"/publish/op/version/{MODEL}", {"model": MODEL, "version": version})

    def publish(self, key: str, value: object) -> None:
        """Publish a value under a key of the store."""
        self._put(f"/publish/{key}", value)

    def drill(self, step: str) -> None:
        """Let the store keep a copy of itself, or come back from it in a new era."""
        self._put(f"/drill/{step}", {})

    def _put(self, path: str, value: object) -> bool:
        url = f"http://{self.store_host}:{self.base_port}{path}"
        body = json.dumps(value).encode()
        return self._request(url, "PUT", body, {}).status == 200

    def directory_url(self, index: int) -> str:
        """Return the URL at which an entry lists the addresses of entries."""
        port = self.base_port + DIRECTORY
        return f"http://{self._host(index)}:{port}/daisystack/resolve?name=site.example&zone=z1"

    def entry_of(self, address: str) -> int:
        """Return the index of the entry with a caller address."""
        return [self.caller_address(i) for i in range(self.entries)].index(address)

    def relayed_address(self, entry: int) -> tuple[str, int]:
        """Return the host and port at which callers reach an entry through its relay."""
        return self._host(entry), self.base_port + CALLER_RELAY_PORT

    def extra_settings(self, name: str) -> dict[str, str]:
        """Return a program's addresses that lead through relays, and the bounds."""
        index = int(name.rpartition("-")[2])
        port = self.base_port
        settings = self.bounds.as_settings()
        settings["seeds"] = ",".join(f"{self._host(i)}:{port + PEERS}" for i in range(self.entries))
        settings["app"] = f"{self._upstream_host(index)}:{port + UPSTREAM_RELAY_PORT}"
        store = f"{self._host(index)}:{port + STORE_RELAY_PORT}"
        settings["platform.address"] = store if name.startswith("entry") else f"{self.store_host}:1"
        return settings

    def _upstream_host(self, index: int) -> str:
        return f"{self.host_prefix}{FIRST_UPSTREAM_HOST + index}"

    def _add_relay(self, link: str, host: str, port: int, to_host: str, to_port: int) -> None:
        listen = Address(host, self.base_port + port)
        self.relays[link] = Relay(listen, Address(to_host, self.base_port + to_port))

    def _accepts(self, host: str, port: int) -> bool:
        with socket.socket() as probe:
            return probe.connect_ex((host, port)) == 0


def _find_free_prefix() -> str:
    """Return the first bytes of loopback addresses that no other site uses; raise OSError."""
    count = len(SECOND_NUMBERS)
    for step in range(count):
        prefix = f"127.{SECOND_NUMBERS[(os.getpid() + step) % count]}.0."
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"{prefix}2", METRICS_PORT))
            except OSError:
                continue
            return prefix
    raise OSError(f"no free loopback addresses: tried {count} of them")
