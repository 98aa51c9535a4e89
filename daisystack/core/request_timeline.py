"""Build the timeline of one request from the log lines of several processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from enum import StrEnum

from attrs import define, field, frozen

from daisystack.core.log_lines import LogLine

__all__ = ["TimelineBuilder", "TimelineEntryKind", "TimelineEntry"]

# Loading other weights takes an engine some seconds and affects its requests for that long.
ENGINE_WINDOW = timedelta(seconds=5)
# Requests that ended at one upstream within this time were affected by the same state of it.
CONCURRENT_WINDOW = timedelta(seconds=1)

REQUEST_ENDED = "direct_request_ended"
REQUEST_EVENTS = frozenset({REQUEST_ENDED, "attempt_ended", "expired_version_started"})
UPSTREAM_EVENTS = frozenset({"upstream_changed", "upstream_gone"})
# For each event: the kind of state that it changes, and the field that identifies the item.
STATE_EVENTS = {
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
    | {"weights_abandoned", "weights_staged", "weight_source_failed", "order_answered"}
)


class TimelineEntryKind(StrEnum):
    """Relation of a log line to the request."""

    REQUEST = "request"
    STATE = "belief"
    UPSTREAM = "upstream"
    ENGINE = "engine"


@frozen
class TimelineEntry:
    """Log line with its relation to the request."""

    kind: TimelineEntryKind
    line: LogLine


@define
class TimelineBuilder:
    """Collect log lines and build the timeline of a request from them."""

    _requests: dict[str, list[LogLine]] = field(factory=dict)
    _context: list[LogLine] = field(factory=list)
    lines_left_out: int = 0

    def add_lines(self, lines: Iterable[LogLine]) -> None:
        """Add lines in any order."""
        for line in lines:
            if line.event in REQUEST_EVENTS:
                self._requests.setdefault(line.fields.get("request_id", ""), []).append(line)
            elif line.event == "log_lines_left_out":
                self.lines_left_out += int(line.fields.get("lines", "0"))
            else:
                self._context.append(line)

    def build(self, request_id: str) -> list[TimelineEntry]:
        """Return the entries of a request by time, with its processes' state at its start."""
        request_lines = sorted(self._requests.get(request_id, ()), key=lambda line: line.at)
        entries = [TimelineEntry(TimelineEntryKind.REQUEST, line) for line in request_lines]
        for who, started_at in _request_starts(request_lines).items():
            entries += self._state_entries(who, started_at)
        for upstream in dict.fromkeys(_upstreams_tried(request_lines)):
            entries += self._upstream_entries(upstream, request_lines[-1])
        return sorted(entries, key=lambda entry: entry.line.at)

    def count_concurrent_outcomes(self, request_id: str) -> dict[str, int]:
        """Count by outcome the other requests that ended with this one at its last upstream."""
        request_lines = [
            line for line in self._ended_requests() if line.fields.get("request_id") == request_id
        ]
        if not request_lines or not request_lines[-1].fields.get("upstream"):
            return {}
        last = request_lines[-1]
        concurrent = (
            line
            for line in self._ended_requests()
            if line not in request_lines
            and line.fields.get("upstream") == last.fields["upstream"]
            and abs(line.at - last.at) <= CONCURRENT_WINDOW
        )
        return dict(Counter(line.fields.get("outcome", "") for line in concurrent))

    def _ended_requests(self) -> Iterator[LogLine]:
        for lines in self._requests.values():
            yield from (line for line in lines if line.event == REQUEST_ENDED)

    def _state_entries(self, who: str, started_at: datetime) -> list[TimelineEntry]:
        latest: dict[tuple[str, str], LogLine] = {}
        for line in sorted(self._context, key=lambda line: line.at):
            if line.who == who and line.at <= started_at and line.event in STATE_EVENTS:
                state, name = STATE_EVENTS[line.event]
                latest[state, line.fields.get(name, "")] = line
        return [TimelineEntry(TimelineEntryKind.STATE, line) for line in latest.values()]

    def _upstream_entries(self, upstream: str, last: LogLine) -> list[TimelineEntry]:
        upstream_lines = [
            line
            for line in self._context
            if line.who == last.who
            and line.event in UPSTREAM_EVENTS
            and line.fields.get("upstream") == upstream
        ]
        before = [line for line in upstream_lines if line.at <= last.at]
        entries = [
            TimelineEntry(TimelineEntryKind.UPSTREAM, line)
            for line in sorted(before, key=_line_time)[-1:]
        ]
        addresses = {line.fields["address"] for line in upstream_lines if "address" in line.fields}
        return entries + self._engine_entries(addresses, last.at)

    def _engine_entries(self, addresses: set[str], at: datetime) -> list[TimelineEntry]:
        agents = {
            line.who
            for line in self._context
            if line.event == "daemon_started" and line.fields.get("http_address") in addresses
        }
        return [
            TimelineEntry(TimelineEntryKind.ENGINE, line)
            for line in self._context
            if line.who in agents
            and line.event in ENGINE_EVENTS
            and abs(line.at - at) <= ENGINE_WINDOW
        ]


def _request_starts(request_lines: Iterable[LogLine]) -> dict[str, datetime]:
    """Return when each process started to handle the request."""
    started: dict[str, datetime] = {}
    for line in request_lines:
        took = timedelta(seconds=float(line.fields.get("took_s", "0")))
        started[line.who] = min(started.get(line.who, line.at), line.at - took)
    return started


def _upstreams_tried(request_lines: Iterable[LogLine]) -> Iterator[str]:
    return (line.fields["upstream"] for line in request_lines if line.fields.get("upstream"))


def _line_time(line: LogLine) -> datetime:
    return line.at
