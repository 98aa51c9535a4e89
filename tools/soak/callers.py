"""Callers that look up entries, keep their connections, and record each answer."""

from __future__ import annotations

import contextlib
import json
import random
import socket
import time
from http.client import HTTPConnection, HTTPException, HTTPResponse
from urllib.request import urlopen

import eventlet
from attrs import define, field

from daisystack.tests.on_platform.soak_site import RequestShape, SoakSite, read_answer_headers
from tools.soak.records import History, RequestRecord

__all__ = ["Callers"]

DIRECTORY_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# A caller waits for this long past its deadline before it gives up.
PATIENCE_S = 0.5
DEADLINES_S = (1.5, 3.0)
PAUSE_S = (0.05, 0.2)
KINDS = ("draft", "draft", "tale", "post", "post", "post", "read", "probe")
# Some callers use addresses for three times as long as they are told.
LIFETIME_FACTORS = (1, 1, 3)
NO_ENTRY_PAUSE_S = 0.2


@define(eq=False)
class _Connection:
    """Open connection to one life of an entry."""

    http: HTTPConnection
    entry: int
    life: int
    address: str


@define(eq=False)
class _Caller:
    """One caller, which sends one request at a time."""

    site: SoakSite
    history: History
    rng: random.Random
    name: str
    addresses: list[str] = field(factory=list)
    fresh_until_s: float = 0.0
    connection: _Connection | None = None
    count: int = 0

    def run(self, is_stopped: list[bool]) -> None:
        """Send requests until told to stop."""
        while not is_stopped:
            self._refresh_addresses()
            if self.addresses:
                self._call(self._next_shape())
            else:
                time.sleep(NO_ENTRY_PAUSE_S)
            time.sleep(self.rng.uniform(*PAUSE_S))

    def _next_shape(self) -> RequestShape:
        self.count += 1
        kind = self.rng.choice(KINDS)
        newest = max((p.version for p in self.history.configs), default=1)
        # Keys that were just revoked or are just added, and sometimes one revoked long ago.
        key = max(1, newest - self.rng.choice((0, 0, 0, 1, 1, 2, 3)))
        return RequestShape(
            id=f"{self.name}-{self.count}",
            kind=kind,
            key=0 if kind in ("read", "probe") else key,
            deadline_s=self.rng.choice(DEADLINES_S),
            probed_config=max(1, newest - self.rng.choice((0, 0, 1, 2))),
        )

    def _refresh_addresses(self) -> None:
        if time.monotonic() < self.fresh_until_s:
            return
        order = list(range(self.site.entries))
        self.rng.shuffle(order)
        for index in order:
            with contextlib.suppress(OSError, ValueError, HTTPException):
                url = self.site.directory_url(index)
                with urlopen(url, timeout=DIRECTORY_TIMEOUT_S) as response:
                    answer = json.loads(response.read())
                self.addresses = answer["addresses"]
                factor = self.rng.choice(LIFETIME_FACTORS)
                self.fresh_until_s = time.monotonic() + answer["ttl_s"] * factor
                if self.connection and self.connection.address not in self.addresses:
                    self._drop_connection()
                return

    def _drop_connection(self) -> None:
        if self.connection is not None:
            self.connection.http.close()
        self.connection = None

    def _connect(self) -> _Connection:
        """Return the open connection, or a new one to an entry; raise OSError."""
        if self.connection is not None:
            return self.connection
        address = self.rng.choice(self.addresses)
        entry = self.site.entry_of(address)
        host, port = self.site.relayed_address(entry)
        http = HTTPConnection(host, port, timeout=CONNECT_TIMEOUT_S)
        life = self.history.life(entry)
        self.connection = _Connection(http, entry, life, address)
        http.connect()
        http.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self.connection

    def _call(self, shape: RequestShape) -> None:
        record = None
        try:
            connection = self._connect()
            record = RequestRecord(shape, connection.entry, connection.life, time.monotonic())
            self._exchange(connection.http, record)
        except TimeoutError:
            self._fail(record, "timeout")
        except (OSError, HTTPException):
            self._fail(record, "closed")
        if record is None:
            return
        record.ended_s = time.monotonic()
        if self.history.life(record.entry) != record.life:
            # The process was replaced meanwhile, so the answer may be that of either life.
            record.life = -1
        self.history.requests.append(record)

    def _fail(self, record: RequestRecord | None, error: str) -> None:
        if record is not None:
            record.error = error
        address = self.connection.address if self.connection else ""
        self._drop_connection()
        if address in self.addresses and len(self.addresses) > 1:
            self.addresses.remove(address)

    def _exchange(self, http: HTTPConnection, record: RequestRecord) -> None:
        """Send a request and read its answer; raise OSError or HTTPException."""
        shape = record.shape
        with eventlet.Timeout(shape.deadline_s + PATIENCE_S, TimeoutError):
            http.sock.settimeout(shape.deadline_s + PATIENCE_S)
            body = b"{}" if shape.method == "POST" else None
            http.request(shape.method, shape.path, body, shape.headers())
            response = http.getresponse()
            record.status = response.status
            received = response.read()
        self._check(response, received, record)
        if response.will_close:
            self._drop_connection()

    def _check(self, response: HTTPResponse, body: bytes, record: RequestRecord) -> None:
        headers = {name.lower(): value for name, value in response.getheaders()}
        named = read_answer_headers(headers)
        answered_id, record.upstream = named.request_id, named.upstream
        record.is_upstream_leaving, record.rate_limit = named.is_leaving, named.rate_limit
        if answered_id not in ("", record.shape.id):
            record.fault = f"got the answer of request {answered_id}"
        elif response.status == 200:
            record.fault, record.version = record.shape.find_fault(body)
            if not record.upstream or not answered_id:
                record.fault = "got a success that no upstream gave"


@define(eq=False)
class Callers:
    """Green threads that send requests until they are stopped."""

    site: SoakSite
    history: History
    seed: int
    count: int = 16
    _stopped: list[bool] = field(factory=list)
    _threads: list[eventlet.greenthread.GreenThread] = field(factory=list)

    def start(self) -> None:
        """Start all callers."""
        for index in range(self.count):
            rng = random.Random(f"{self.seed}/caller/{index}")
            caller = _Caller(self.site, self.history, rng, f"q{index}")
            self._threads.append(eventlet.spawn(caller.run, self._stopped))

    def stop(self) -> None:
        """Stop after the request that each caller has in progress, and wait."""
        self._stopped.append(True)
        for thread in self._threads:
            thread.wait()
