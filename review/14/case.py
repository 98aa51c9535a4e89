"""A configuration allows longer heads; clients use them on connections that they have kept."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

from small_site import ENTRY_IPS, HOST, Site, build_config, run_case, trouble  # noqa: E402

SERVICE, RUNNER = "loan-ledger", "ledger-0"
ENTRIES = 2
CONNECTIONS = 40
LIMIT_BYTES, HIGHER_LIMIT_BYTES = 16_384, 65_536
SHORT_BYTES, LONG_BYTES = 500, 45_000
# A TCP sender's first window, and a round trip to a client.
WINDOW_BYTES, ROUND_TRIP_S = 14_600, 0.004
# config_apply_ms after the acknowledgement, and some more.
APPLY_S = 2.0
# "more than 5 + one in 500 of all requests"
ALLOWED, ALLOWED_SHARE = 5, 1 / 500


def config(version: int, limit_bytes: int) -> dict:
    """Return a configuration with a limit on heads."""
    route = {"name": "accounts", "prefix": "/accounts/", "service": SERVICE}
    return build_config(version, [route], [SERVICE], limits={"max_header_bytes": limit_bytes})


class KeptConnection:
    """A client that keeps its connection for many requests."""

    def __init__(self, site: Site, index: int) -> None:
        self.site, self.index = site, index
        address = (ENTRY_IPS[index], site.ports["front"])
        self.sock = socket.create_connection(address, timeout=5.0)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.stream = self.sock.makefile("rb")

    def call(self, head_bytes: int) -> int:
        """Send a request with a head of about this size; return its status, 0 for none."""
        attempt_id = self.site.request_id()
        head = f"GET /accounts/7 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt_id}\r\n"
        head += "X-Deadline-Ms: 3000\r\n"
        number = 0
        while len(head) < head_bytes:
            number += 1
            head += f"X-Field-{number}: {'v' * 4000}\r\n"
        sent = (head + "\r\n").encode()
        status = 0
        try:
            for start in range(0, len(sent), WINDOW_BYTES):
                if start:
                    time.sleep(ROUND_TRIP_S)
                self.sock.sendall(sent[start : start + WINDOW_BYTES])
        except OSError:
            # The entry has answered and closed; its answer is read all the same.
            pass
        try:
            status = self._read_answer()
        except (OSError, ValueError, IndexError):
            pass
        self.site.record.write(
            f"client {attempt_id} at front-{self.index}, head of {len(sent)} bytes: {status}"
        )
        return status

    def _read_answer(self) -> int:
        status = int(self.stream.readline().split()[1])
        length = 0
        while (line := self.stream.readline()) not in (b"\r\n", b""):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        self.stream.read(length)
        return status


def case(site: Site) -> bool:
    """Return whether proper requests were denied."""
    limit_bytes = LIMIT_BYTES if trouble() else HIGHER_LIMIT_BYTES
    site.store.put("op/config", config(1, limit_bytes))
    address = site.start_runner(RUNNER, 0)
    site.publish_runner(RUNNER, SERVICE, address, born=1000)
    for index in range(ENTRIES):
        site.start_entry(index)
    entries = range(ENTRIES)
    site.wait_for(lambda: all(site.is_ready(i) for i in entries), "entries are ready")
    served = lambda i: site.call(i, "/accounts/1")[0] == 200  # noqa: E731
    site.wait_for(lambda: all(served(i) for i in entries), "a first request is served")
    kept = [KeptConnection(site, number % ENTRIES) for number in range(CONNECTIONS)]
    statuses = [connection.call(SHORT_BYTES) for connection in kept]
    site.store.put("op/config", config(2, HIGHER_LIMIT_BYTES))
    site.record.write("configuration 2 is acknowledged")
    acknowledged_s = time.monotonic()
    while time.monotonic() < acknowledged_s + 2 * APPLY_S:
        time.sleep(0.5)
        statuses += [connection.call(SHORT_BYTES) for connection in kept]
    long_statuses = [connection.call(LONG_BYTES) for connection in kept]
    fresh_statuses = [KeptConnection(site, i).call(LONG_BYTES) for i in entries for _ in range(5)]
    statuses += long_statuses + fresh_statuses
    denied = sum(300 <= status < 500 and status not in (408, 421, 429) for status in statuses)
    print(f"long heads on kept connections: {sorted(set(long_statuses))}, {denied} denied")
    print(f"long heads on new connections: {sorted(set(fresh_statuses))}")
    return denied > ALLOWED + ALLOWED_SHARE * len(statuses)


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case, ENTRIES))
