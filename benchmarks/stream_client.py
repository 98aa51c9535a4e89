"""Client process that sends paced streams to one address and prints times to the first token."""

from __future__ import annotations

import json
import socket as plain_socket
import sys
import time

import eventlet
from attrs import define, field
from eventlet.green import socket

__all__ = ["main"]

READ_BYTES = 65_536


@define
class Totals:
    """Totals over all streams of this client."""

    first_s: list[float] = field(factory=list)
    events: int = 0
    failed: int = 0
    last_ended_s: float = 0.0


def stream(address: str, path: str, tokens: int, token_s: float, totals: Totals) -> None:
    """Send one request, read its events to the end and add them to the totals."""
    host, _, port = address.rpartition(":")
    body = json.dumps({"id": "b", "tokens": tokens, "token_s": token_s}).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: b\r\nDaisystack-Workspace: dealers\r\n"
        f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    started_s = time.monotonic()
    events = 0
    try:
        sock = socket.create_connection((host, int(port)))
        sock.setsockopt(plain_socket.IPPROTO_TCP, plain_socket.TCP_NODELAY, 1)
        sock.sendall(head.encode() + body)
        while True:
            data = sock.recv(READ_BYTES)
            if not data:
                break
            if not events and b"data: " in data:
                totals.first_s.append(time.monotonic() - started_s)
            events += data.count(b"data: {")
        sock.close()
    except OSError:
        pass
    totals.events += events
    totals.failed += events != tokens
    totals.last_ended_s = time.monotonic()


def main(arguments: list[str]) -> None:
    """Print totals as JSON; arguments: address path requests_per_s seconds tokens token_s."""
    address, path = arguments[:2]
    rate, seconds, tokens, token_s = (float(text) for text in arguments[2:])
    totals = Totals()
    pool = eventlet.GreenPool(4000)
    started_s = time.monotonic()
    for index in range(int(rate * seconds)):
        eventlet.sleep(max(0.0, started_s + index / rate - time.monotonic()))
        pool.spawn_n(stream, address, path, int(tokens), token_s, totals)
    pool.waitall()
    took_s = totals.last_ended_s - started_s
    print(
        json.dumps(
            {
                "first_s": totals.first_s,
                "events": totals.events,
                "took_s": took_s,
                "failed": totals.failed,
            }
        )
    )


if __name__ == "__main__":
    main(sys.argv[1:])
