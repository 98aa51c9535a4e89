"""Tell one request's story from the lines of several processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from enum import StrEnum

from attrs import define, field, frozen

from daisystack.core.log_lines import LogLine

__all__ = ["StoryBook", "StoryPart", "StoryStep"]

# An engine's load of other weights takes some seconds, so it shapes requests for that long.
ENGINE_SPAN = timedelta(seconds=5)
# Requests that ended at the same upstream this close in time met the same state of it.
OTHERS_SPAN = timedelta(seconds=1)

REQUEST_ENDED = "direct_request_ended"
REQUEST_EVENTS = frozenset({REQUEST_ENDED, "attempt_ended"})
UPSTREAM_EVENTS = frozenset({"upstream_changed", "upstream_gone"})
# Beliefs by event: the belief that it changes, and the field that tells apart beliefs of a kind.
BELIEF_EVENTS = {
    "daemon_started": ("life", "role"),
    "policy_taken": ("policy", ""),
    "settings_reloaded": ("settings", ""),
    "target_taken": ("target", "model"),
    "target_told": ("target", "model"),
    "dependency_lost": ("dependency", "dependency"),
    "dependency_regained": ("dependency", "dependency"),
}
ENGINE_EVENTS = frozenset(
    {"daemon_started", "daemon_stopping", "dependency_lost", "dependency_regained"}
    | {"weights_staged", "weight_source_failed", "order_answered"}
)


class StoryPart(StrEnum):
    """Say what a line is to a request."""

    REQUEST = "request"
    BELIEF = "belief"
    UPSTREAM = "upstream"
    ENGINE = "engine"


@frozen
class StoryStep:
    """Hold one line and what it is to the request."""

    part: StoryPart
    line: LogLine


@define
class StoryBook:
    """Keep what lines say until the story of a request is asked for."""

    _requests: dict[str, list[LogLine]] = field(factory=dict)
    _others: list[LogLine] = field(factory=list)
    lines_left_out: int = 0

    def take(self, lines: Iterable[LogLine]) -> None:
        """Take lines in any order."""
        for line in lines:
            if line.event in REQUEST_EVENTS:
                self._requests.setdefault(line.fields.get("request_id", ""), []).append(line)
            elif line.event == "log_lines_left_out":
                self.lines_left_out += int(line.fields.get("lines", "0"))
            else:
                self._others.append(line)

    def tell(self, request_id: str) -> list[StoryStep]:
        """Return a request's steps by time, and before them what its processes believed."""
        own = sorted(self._requests.get(request_id, ()), key=lambda line: line.at)
        steps = [StoryStep(StoryPart.REQUEST, line) for line in own]
        for who, decided_at in _decided(own).items():
            steps += self._beliefs(who, decided_at)
        for upstream in dict.fromkeys(_upstreams(own)):
            steps += self._upstream(upstream, own[-1])
        return sorted(steps, key=lambda step: step.line.at)

    def count_others(self, request_id: str) -> dict[str, int]:
        """Count by outcome the other requests that ended at its last upstream around its end."""
        own = [line for line in self._ended() if line.fields.get("request_id") == request_id]
        if not own or not own[-1].fields.get("upstream"):
            return {}
        last = own[-1]
        near = (
            line
            for line in self._ended()
            if line not in own
            and line.fields.get("upstream") == last.fields["upstream"]
            and abs(line.at - last.at) <= OTHERS_SPAN
        )
        return dict(Counter(line.fields.get("outcome", "") for line in near))

    def _ended(self) -> Iterator[LogLine]:
        for lines in self._requests.values():
            yield from (line for line in lines if line.event == REQUEST_ENDED)

    def _beliefs(self, who: str, decided_at: datetime) -> list[StoryStep]:
        newest: dict[tuple[str, str], LogLine] = {}
        for line in sorted(self._others, key=lambda line: line.at):
            if line.who == who and line.at <= decided_at and line.event in BELIEF_EVENTS:
                belief, name = BELIEF_EVENTS[line.event]
                newest[belief, line.fields.get(name, "")] = line
        return [StoryStep(StoryPart.BELIEF, line) for line in newest.values()]

    def _upstream(self, upstream: str, last: LogLine) -> list[StoryStep]:
        known = [
            line
            for line in self._others
            if line.who == last.who
            and line.event in UPSTREAM_EVENTS
            and line.fields.get("upstream") == upstream
        ]
        before = [line for line in known if line.at <= last.at]
        steps = [StoryStep(StoryPart.UPSTREAM, line) for line in sorted(before, key=_at)[-1:]]
        addresses = {line.fields["address"] for line in known if "address" in line.fields}
        return steps + self._engine(addresses, last.at)

    def _engine(self, addresses: set[str], at: datetime) -> list[StoryStep]:
        agents = {
            line.who
            for line in self._others
            if line.event == "daemon_started" and line.fields.get("http_address") in addresses
        }
        return [
            StoryStep(StoryPart.ENGINE, line)
            for line in self._others
            if line.who in agents
            and line.event in ENGINE_EVENTS
            and abs(line.at - at) <= ENGINE_SPAN
        ]


def _decided(own: Iterable[LogLine]) -> dict[str, datetime]:
    """Return when each process took the request in."""
    decided: dict[str, datetime] = {}
    for line in own:
        took = timedelta(seconds=float(line.fields.get("took_s", "0")))
        decided[line.who] = min(decided.get(line.who, line.at), line.at - took)
    return decided


def _upstreams(own: Iterable[LogLine]) -> Iterator[str]:
    return (line.fields["upstream"] for line in own if line.fields.get("upstream"))


def _at(line: LogLine) -> datetime:
    return line.at
