"""Records of a run: requests, what upstreams saw, disruptions, publications and lives."""

from __future__ import annotations

import json
import time
from pathlib import Path

from attrs import asdict, define, field, frozen

from daisystack.tests.on_platform.soak_site import RequestShape

__all__ = [
    "MACHINE",
    "Disruption",
    "History",
    "Life",
    "Publication",
    "RequestRecord",
    "UpstreamEvent",
    "read_upstream_events",
    "write_requests",
]

# Target of disruptions that hit the soak itself and with it all programs.
MACHINE = "machine"
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define
class RequestRecord:
    """One request as its caller saw it; status 0 means that no answer began.

    error is "" for a whole answer, otherwise "connect", "timeout" or "closed".
    """

    shape: RequestShape
    entry: int
    life: int
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    error: str = ""
    # What is wrong with an answer that looks whole.
    fault: str = ""
    version: int = 0
    upstream: str = ""
    is_upstream_leaving: bool = False
    rate_limit: str = ""

    @property
    def is_served(self) -> bool:
        """Return whether a whole success was received."""
        return self.status == 200 and not self.error

    @property
    def claims_not_run(self) -> bool:
        """Return whether the answer promises that the request has not run and never will."""
        return self.status in NOT_RUN_STATUSES and not self.error


@frozen
class UpstreamEvent:
    """One line of the upstreams' record."""

    event: str
    at_s: float
    upstream: str
    service: str
    version: int
    id: str = ""
    path: str = ""
    workspace: str | None = None
    reason: str = ""


@define
class Disruption:
    """Time during which a process or a link was disturbed; end_s is infinite until it ends."""

    target: str
    kind: str
    start_s: float
    end_s: float = float("inf")


@frozen
class Publication:
    """A version that the store held from its acknowledgment on; a drill may hold an older one."""

    at_s: float
    version: int
    sent_s: float


@define
class Life:
    """One life of an entry's process; stop_s is when it was told to stop."""

    entry: int
    number: int
    started_s: float
    stop_s: float | None = None
    ended_s: float = float("inf")
    status: int | None = None


@define(eq=False)
class History:
    """Everything that was done to the programs, and every request that callers sent."""

    requests: list[RequestRecord] = field(factory=list)
    disruptions: list[Disruption] = field(factory=list)
    configs: list[Publication] = field(factory=list)
    weights: list[Publication] = field(factory=list)
    lives: list[Life] = field(factory=list)
    calm_from_s: float = float("inf")
    # When planned work begins; until then recovery is measured.
    planned_from_s: float = float("inf")

    def begin(self, target: str, kind: str) -> Disruption:
        """Record that a disruption begins now."""
        disruption = Disruption(target, kind, time.monotonic())
        self.disruptions.append(disruption)
        return disruption

    def life(self, entry: int) -> int:
        """Return the number of an entry's present or latest life."""
        return max(life.number for life in self.lives if life.entry == entry)

    def find_life(self, entry: int, number: int) -> Life:
        """Return a life of an entry."""
        return next(x for x in self.lives if (x.entry, x.number) == (entry, number))

    def is_calm(self, targets: tuple[str, ...], start_s: float, end_s: float) -> bool:
        """Return whether no target was disturbed within a time, nor the whole machine.

        A target that ends with a colon or a dash stands for all that begin with it.
        """
        prefixes = tuple(target for target in targets if target[-1] in ":-")
        return not any(
            (d.target in (*targets, MACHINE) or d.target.startswith(prefixes or "\n"))
            and d.start_s <= end_s
            and d.end_s >= start_s
            for d in self.disruptions
        )

    def stalls_s(self) -> list[float]:
        """Return how long the machine gave this process no time, for each such stall."""
        return [d.end_s - d.start_s for d in self.disruptions if d.target == MACHINE]


def write_requests(history: History, path: Path) -> None:
    """Write one line for each request and each disruption."""
    records = [*history.disruptions, *history.lives, *history.configs, *history.weights]
    records += sorted(history.requests, key=lambda record: record.sent_s)
    with path.open("w") as stream:
        for record in records:
            stream.write(json.dumps({"record": type(record).__name__} | asdict(record)) + "\n")


def read_upstream_events(path: Path) -> list[UpstreamEvent]:
    """Return the events of the upstreams' record; the last line of a killed one may be partial."""
    events = []
    for line in path.read_text().splitlines():
        try:
            events.append(UpstreamEvent(**json.loads(line)))
        except ValueError:
            continue
    return sorted(events, key=lambda event: event.at_s)
