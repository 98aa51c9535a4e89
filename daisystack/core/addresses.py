"""Parse the ip:port addresses at which processes reach each other."""

from __future__ import annotations

import ipaddress
from functools import lru_cache

from attrs import frozen

__all__ = ["Address", "parse_address"]

MAX_PORT = 65535
# Each message and attempt names its peer by text; more than the addresses that a process calls.
CACHED_ADDRESSES = 1024


@frozen(order=True)
class Address:
    """IP address and port of a process."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@lru_cache(maxsize=CACHED_ADDRESSES)
def parse_address(text: str) -> Address:
    """Parse `ip:port`; raise ValueError that names the invalid text."""
    host, colon, port = text.rpartition(":")
    if not colon or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"got {text[:40]!r}, allowed is ip:port with a port from 1 to {MAX_PORT}")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f"got host {host[:40]!r}, allowed is an IP number") from None
    return Address(host, int(port))
