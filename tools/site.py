"""Run a complete site as separate processes on loopback."""

from __future__ import annotations

import json
import time
from pathlib import Path

import urllib3
from attrs import define, evolve, field

from daisystack.core.addresses import parse_address
from daisystack.standins.site import (
    CONFIG,
    LIVE_LIST,
    ORIGIN,
    STORE,
    SiteLayout,
    build_site_document,
    dump_document,
    generate_versions,
)
from daisystack.standins.weights import SyntheticVersion
from tools.processes import Processes
from tools.relay import Relay

__all__ = ["Site", "SiteOptions"]

POLL_S = 0.1


@define
class SiteOptions:
    """Options of a run: weights, link rates, engine timing and extra flags."""

    layout: SiteLayout
    size_bytes: int = 8_000_000
    chunk_bytes: int = 125_000
    origin_bytes_per_s: float = 8_000_000.0
    seed: int = 1
    load_s: float = 0.5
    token_s: float = 0.01
    shared_part: float = 0.0
    engine_capacity: int = 8
    lag_s: float = 30.0
    entry_flags: tuple[str, ...] = ()
    agent_flags: tuple[str, ...] = ()


@define(eq=False)
class Site:
    """The processes of one site, and calls to their HTTP interfaces."""

    options: SiteOptions
    processes: Processes
    versions: list[SyntheticVersion] = field(init=False)
    relays: dict[int, Relay] = field(factory=dict)
    http: urllib3.PoolManager = field(
        factory=lambda: urllib3.PoolManager(retries=False, maxsize=64, timeout=5.0)
    )

    def __attrs_post_init__(self) -> None:
        options = self.options
        self.versions = generate_versions(
            options.size_bytes, options.chunk_bytes, options.seed, options.shared_part
        )

    @property
    def layout(self) -> SiteLayout:
        """Return the layout of the site."""
        return self.options.layout

    def start_platform(self) -> None:
        """Start the platform's stand-ins, the engines and the services that serve as upstreams."""
        options = self.options
        self.processes.start(
            "platform",
            "standins",
            "platform",
            f"--base-port={self.layout.base_port}",
            f"--host={self.layout.host}",
            f"--size-bytes={options.size_bytes}",
            f"--chunk-bytes={options.chunk_bytes}",
            f"--origin-bytes-per-s={options.origin_bytes_per_s}",
            f"--store-bytes-per-s={options.origin_bytes_per_s}",
            f"--shared-part={options.shared_part}",
            f"--seed={options.seed}",
            f"--lag-s={options.lag_s}",
        )
        for index in range(self.layout.agents + self.layout.ledgers):
            self.start_upstream(index)

    def start_upstream(self, index: int) -> None:
        """Start the engine or service of the upstream at an index."""
        address = self.layout.agent_addresses(index)[2]
        if index < self.layout.agents:
            fencing = "--checks-fencing" if self.layout.checks_fencing else "--no-checks-fencing"
            self.processes.start(
                f"engine-m{index + 1}",
                "standins",
                "engine",
                f"--address={address}",
                f"--load-s={self.options.load_s}",
                f"--token-s={self.options.token_s}",
                f"--capacity={self.options.engine_capacity}",
                fencing,
            )
        else:
            name = f"service-s{index - self.layout.agents + 1}"
            self.processes.start(name, "standins", "service", f"--address={address}")

    def start_relays(self) -> None:
        """Start a relay in front of each agent that the layout lists as relayed."""
        for index in self.layout.relayed:
            listen = parse_address(self.layout.relay_address(index))
            target = parse_address(self.layout.agent_addresses(index)[0])
            self.relays[index] = Relay(listen, target)

    def start_daemons(self) -> None:
        """Start the relays, then all entries and agents."""
        self.start_relays()
        for index in range(self.layout.entries):
            self.start_entry(index)
        for index in range(self.layout.agents + self.layout.ledgers):
            self.start_agent(index)

    def start_entry(self, index: int) -> None:
        """Start the entry at an index."""
        http, peer = self.layout.entry_addresses(index)
        self.processes.start(
            f"e{index + 1}",
            "entry",
            f"--id=e{index + 1}",
            f"--zone={self.layout.zone_of(index)}",
            f"--http-address={http}",
            f"--peer-address={peer}",
            f"--config-address={self.layout.address(CONFIG)}",
            f"--live-list-address={self.layout.address(LIVE_LIST)}",
            f"--peers={self._seed_addresses()}",
            *self.options.entry_flags,
        )

    def start_agent(self, index: int, layout: SiteLayout | None = None, name: str = "") -> None:
        """Start the agent at an index; another layout gives a replacement other addresses."""
        http, peer, _ = (layout or self.layout).agent_addresses(index)
        upstream = self.layout.agent_addresses(index)[2]
        is_model = index < self.layout.agents
        pool_index = index if is_model else index - self.layout.agents
        id = f"m{index + 1}" if is_model else f"s{pool_index + 1}"
        self.processes.start(
            name or id,
            "agent",
            f"--id={id}",
            f"--zone={self.layout.zone_of(pool_index)}",
            f"--http-address={http}",
            f"--peer-address={peer}",
            f"--config-address={self.layout.address(CONFIG)}",
            f"--store-address={self.layout.address(STORE)}",
            f"--origin-address={self.layout.address(ORIGIN)}",
            f"--upstream-address={upstream}",
            f"--peers={self._seed_addresses()}",
            *self.options.agent_flags,
        )

    def publish(self, version: str, layout: SiteLayout | None = None) -> int:
        """Publish a register in which the model pool serves a version, and return its revision."""
        return self.publish_document(
            build_site_document(layout or self.layout, self.versions, version)
        )

    def publish_document(self, document: dict) -> int:
        """Publish a document and return its revision."""
        url = f"http://{self.layout.address(CONFIG)}/v1/document"
        return json.loads(self.http.request("PUT", url, body=dump_document(document)).data)[
            "revision"
        ]

    def set_faults(self, address: str, **faults: object) -> None:
        """Set faults of the stand-in at an address."""
        self.http.request("PUT", f"http://{address}/control", body=json.dumps(faults).encode())

    def get(self, address: str, path: str) -> dict | None:
        """Return a process's JSON answer, or None when it fails or isn't JSON."""
        try:
            return json.loads(self.http.request("GET", f"http://{address}{path}").data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def status(self, index: int) -> dict | None:
        """Return the status of the agent at an index, or None when it does not answer."""
        return self.get(self.layout.agent_addresses(index)[0], "/v1/status")

    def count_serving(self, version: str) -> int:
        """Count the model upstreams whose gate is open on a version."""
        count = 0
        for index in range(self.layout.agents):
            status = self.status(index)
            if status and status["gate_open"]:
                count += all(ref["version"] == version for ref in status["serving"])
        return count

    def wait_for(self, description: str, condition, timeout_s: float = 30.0) -> float:
        """Wait until a condition holds and return the seconds it took; raise TimeoutError."""
        started_s = time.monotonic()
        while time.monotonic() - started_s < timeout_s:
            if condition():
                return time.monotonic() - started_s
            time.sleep(POLL_S)
        raise TimeoutError(f"{description}: condition not met within {timeout_s} s")

    def _seed_addresses(self) -> str:
        return ",".join(self.layout.entry_addresses(i)[1] for i in range(self.layout.entries))


def default_site(base_port: int, log_dir: Path, **changes: object) -> Site:
    """Return a site with default options, some of them replaced by changes."""
    options = evolve(SiteOptions(SiteLayout("127.0.0.1", base_port)), **changes)
    return Site(options, Processes(log_dir))
