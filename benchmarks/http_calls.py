"""Measure the processor time of a small call over HTTP, as an agent polls its engine."""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import eventlet

from daisystack.backends import BackendError, HttpEndpoint
from daisystack.core.addresses import Address
from daisystack.runtime.web import Request, Response, Route, serve_http
from tools.processes import Processes

__all__ = ["main"]

ADDRESS = Address("127.0.0.1", 24_790)
PATH = "/report"
BODY_BYTES = 250
CALLS = 500
ROUNDS = 7
START_TIMEOUT_S = 20.0


def serve() -> None:
    """Answer each request with a small body."""
    body = b"x" * BODY_BYTES

    def answer(request: Request, subpath: str) -> Response:
        return Response(200, body, "application/json")

    serve_http(ADDRESS, [Route("GET", PATH, answer)]).wait()


def call_ms(endpoint: HttpEndpoint) -> float:
    """Return the mean processor milliseconds of a call."""
    started_s = time.process_time()
    for _ in range(CALLS):
        endpoint.call("GET", PATH)
    return (time.process_time() - started_s) / CALLS * 1000


def main() -> None:
    """Print the least and the median of some rounds."""
    eventlet.monkey_patch()
    if sys.argv[1:] == ["serve"]:
        serve()
        return
    folder = Path(tempfile.mkdtemp(prefix="daisystack-bench-"))
    processes = Processes(folder, (sys.executable, "-m", "benchmarks.http_calls"))
    processes.start("server", "serve")
    endpoint = HttpEndpoint(f"{ADDRESS.host}:{ADDRESS.port}")
    try:
        _wait_for(endpoint)
        rounds = sorted(call_ms(endpoint) for _ in range(ROUNDS))
    finally:
        processes.kill_all()
    print("| calls | least ms a call | median ms a call |\n|---|---|---|")
    print(f"| {CALLS * ROUNDS} | {rounds[0]:.3f} | {rounds[len(rounds) // 2]:.3f} |")


def _wait_for(endpoint: HttpEndpoint) -> None:
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while True:
        try:
            endpoint.call("GET", PATH)
        except BackendError:
            if time.monotonic() > deadline_s:
                raise
            eventlet.sleep(0.1)
        else:
            return


if __name__ == "__main__":
    main()
