"""Measure what an agent's report of its engine costs by the number of entries that receive it."""

from __future__ import annotations

import socket
import time

from daisystack.core.engine_status import EngineStatus
from daisystack.runtime.engine_datagrams import EngineStatusSender

__all__ = ["main"]

# Entries of a zone: a small site, the large one, and the target.
RECEIVERS = (2, 20, 60, 134)
ROUNDS = 200


def measure(receivers: int) -> float:
    """Return the processor seconds to encode a report and send it to a number of addresses."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink:
        sink.bind(("127.0.0.1", 0))
        port = sink.getsockname()[1]
        # All of 127.0.0.0/8 is this machine; nothing listens at most of the addresses.
        addresses = [f"127.0.{1 + n // 250}.{1 + n % 250}:{port}" for n in range(receivers)]
        status = EngineStatus("10.1.0.1:8100", 1, 2, True, False, 3, 4, 100.0, None, 1.0)
        sender = EngineStatusSender()
        sender.send([status], addresses, 100.0, is_direct=True)
        started_s = time.process_time()
        for _ in range(ROUNDS):
            sender.send([status], addresses, 100.0, is_direct=True)
        return (time.process_time() - started_s) / ROUNDS


def main() -> None:
    """Print the table, one row per number of receivers."""
    print("| receivers | processor ms a report |\n|---|---|")
    for receivers in RECEIVERS:
        print(f"| {receivers} | {measure(receivers) * 1000:.3f} |")


if __name__ == "__main__":
    main()
