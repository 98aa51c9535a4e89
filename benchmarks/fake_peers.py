"""Answer heartbeats on many ports, so that one daemon has many neighbors."""

from __future__ import annotations

import sys

import eventlet

from daisystack.core.addresses import Address
from daisystack.runtime.clock import now_s
from daisystack.runtime.peer_link import serve_peers
from daisystack.testing import build_status
from daisystack.wire.convert import status_to_wire

DURATION_S = 120.0


class Handler:
    """Answers heartbeats as one instance with an open gate."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id

    def exchange(self, mine):
        """Return a status that has the revision of the calling peer."""
        status = build_status(
            self.instance_id, uptime_s=now_s(), revision=mine.revision, capacity=8
        )
        return status_to_wire(status)


def main(arguments: list[str]) -> None:
    """Serve peers until the time is up; the arguments are first_port and count."""
    first_port, count = (int(text) for text in arguments)
    for index in range(count):
        serve_peers(Address("127.0.0.1", first_port + index), Handler(f"m{index + 1}"))
    eventlet.sleep(DURATION_S)


if __name__ == "__main__":
    main(sys.argv[1:])
