"""Commands that run the stand-ins as processes."""

from __future__ import annotations

import signal
from typing import Annotated

import eventlet
import typer

from daisystack.core.addresses import parse_address
from daisystack.runtime.logs import set_up_logging
from daisystack.runtime.web import serve_http
from daisystack.standins.config_service import ConfigServiceStandin
from daisystack.standins.live_list import LiveListStandin
from daisystack.standins.model_engine import ModelEngineStandin
from daisystack.standins.plain_service import PlainServiceStandin
from daisystack.standins.site import (
    CONFIG,
    LIVE_LIST,
    ORIGIN,
    STORE,
    VERSIONS,
    SiteLayout,
    build_site_document,
    dump_document,
    generate_versions,
)
from daisystack.standins.weight_source import WeightSourceStandin
from daisystack.standins.weights import SyntheticVersion

__all__ = ["app"]

app = typer.Typer(no_args_is_help=True)

BasePort = Annotated[int, typer.Option(help="First port of the site")]
Host = Annotated[str, typer.Option(help="IP address to listen on")]


def _serve_platform(
    layout: SiteLayout,
    versions: list[SyntheticVersion],
    origin_bytes_per_s: float,
    store_bytes_per_s: float,
    lag_s: float,
) -> ConfigServiceStandin:
    config = ConfigServiceStandin()
    store = WeightSourceStandin(store_bytes_per_s)
    origin = WeightSourceStandin(origin_bytes_per_s)
    for version in versions:
        store.add(version)
        origin.add(version)
    standins = {CONFIG: config, LIVE_LIST: LiveListStandin(lag_s), STORE: store, ORIGIN: origin}
    for offset, standin in standins.items():
        serve_http(parse_address(layout.address(offset)), standin.routes())
    return config


def _wait_for_signal() -> None:
    stop = eventlet.event.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signum, lambda *_: stop.ready() or stop.send())
    while not stop.ready():
        eventlet.sleep(0.05)


@app.command()
def platform(
    base_port: BasePort = 7000,
    host: Host = "127.0.0.1",
    size_bytes: Annotated[int, typer.Option(help="Size of each version, bytes")] = 8_000_000,
    chunk_bytes: Annotated[int, typer.Option(help="Size of a chunk, bytes")] = 125_000,
    origin_bytes_per_s: Annotated[float, typer.Option(help="Rate of the origin")] = 4_000_000.0,
    store_bytes_per_s: Annotated[float, typer.Option(help="Rate of the store")] = 4_000_000.0,
    lag_s: Annotated[float, typer.Option(help="Lag of the live list, s")] = 30.0,
    shared_part: Annotated[float, typer.Option(help="Fraction of shared chunks")] = 0.0,
    seed: Annotated[int, typer.Option(help="Random seed of the weights")] = 1,
) -> None:
    """Run the config service, the live list, the store and the origin."""
    set_up_logging("platform")
    versions = generate_versions(size_bytes, chunk_bytes, seed, shared_part)
    layout = SiteLayout(host, base_port)
    _serve_platform(layout, versions, origin_bytes_per_s, store_bytes_per_s, lag_s)
    _wait_for_signal()


@app.command()
def engine(
    address: Annotated[str, typer.Option(help="ip:port to listen on")],
    checks_fencing: Annotated[bool, typer.Option(help="Refuse old fencing tokens")] = True,
    load_s: Annotated[float, typer.Option(help="Time to load weights, s")] = 0.5,
    token_s: Annotated[float, typer.Option(help="Time between tokens, s")] = 0.01,
    prefill_s: Annotated[float, typer.Option(help="Time to the first token, s")] = 0.02,
    capacity: Annotated[int, typer.Option(help="Concurrent requests at full speed")] = 8,
) -> None:
    """Run one model engine."""
    set_up_logging(address)
    standin = ModelEngineStandin(checks_fencing, load_s, prefill_s, token_s, capacity)
    serve_http(parse_address(address), standin.routes())
    _wait_for_signal()


@app.command()
def service(
    address: Annotated[str, typer.Option(help="ip:port to listen on")],
    work_s: Annotated[float, typer.Option(help="Time each request takes, s")] = 0.02,
) -> None:
    """Run one plain service."""
    set_up_logging(address)
    serve_http(parse_address(address), PlainServiceStandin(work_s).routes())
    _wait_for_signal()


@app.command()
def site(
    base_port: BasePort = 7000,
    host: Host = "127.0.0.1",
    agents: Annotated[int, typer.Option(help="Number of model upstreams")] = 2,
    ledgers: Annotated[int, typer.Option(help="Number of ledger upstreams")] = 1,
) -> None:
    """Run a platform with its engines in one process and publish a document that lists them."""
    set_up_logging("site")
    layout = SiteLayout(
        host, base_port, regions=("mtl",), entries=1, agents=agents, ledgers=ledgers
    )
    versions = generate_versions(4_000_000, 125_000, 1, 0.5)
    bytes_per_s = 20_000_000.0
    config = _serve_platform(layout, versions, bytes_per_s, bytes_per_s, 5.0)
    for index in range(agents + ledgers):
        standin = ModelEngineStandin() if index < agents else PlainServiceStandin()
        serve_http(parse_address(layout.agent_addresses(index)[2]), standin.routes())
    config.publish(dump_document(build_site_document(layout, versions, VERSIONS[0])))
    print(f"config service at {layout.address(CONFIG)}, version a is published", flush=True)
    _wait_for_signal()
