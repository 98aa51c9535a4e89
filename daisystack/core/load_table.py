"""Count requests by second and group from log lines: who was served, late, refused or lost."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from datetime import datetime
from enum import StrEnum

from attrs import define, field, frozen

from daisystack.core.log_lines import LogLine

__all__ = ["LoadGroup", "LoadRow", "LoadTable"]

REQUEST_ENDED = "direct_request_ended"
LINES_LEFT_OUT = "log_lines_left_out"
# Prompts are grouped by powers of this, which parts the largest tenth from the typical ones.
SIZE_STEP = 4
REFUSED_STATUSES = frozenset({"429", "503"})


class LoadGroup(StrEnum):
    """What the requests of a table are grouped by."""

    ALL = "all"
    ROUTE = "route"
    PRIORITY = "priority"
    WORKSPACE = "workspace"
    SIZE = "size"
    ENTRY = "entry"


@define
class LoadRow:
    """Requests of one group that ended within one second of the log's clock."""

    second: int
    group: str
    ended: int = 0
    # Submitted again after a refusal.
    returned: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    caller_gone: int = 0
    reasons: Counter[str] = field(factory=Counter)

    @property
    def main_reason(self) -> str:
        """Return the most frequent reason of what was not served, empty without one."""
        return self.reasons.most_common(1)[0][0] if self.reasons else ""


@frozen
class _Ended:
    at: datetime
    who: str
    fields: dict[str, str]


@define
class LoadTable:
    """Collect log lines and count their requests."""

    lines_left_out: int = 0
    _ended: list[_Ended] = field(factory=list)

    def add_lines(self, lines: Iterable[LogLine]) -> None:
        """Add lines in any order."""
        for line in lines:
            if line.event == REQUEST_ENDED:
                self._ended.append(_Ended(line.at, line.who, line.fields))
            elif line.event == LINES_LEFT_OUT:
                self.lines_left_out += int(line.fields.get("lines", "0"))

    def build(self, group: LoadGroup) -> list[LoadRow]:
        """Return the rows by second, counted from the first line, and then by group."""
        if not self._ended:
            return []
        start = min(request.at for request in self._ended)
        rows: dict[tuple[int, str], LoadRow] = {}
        for request in self._ended:
            key = (int((request.at - start).total_seconds()), _group_of(request, group))
            _count(rows.setdefault(key, LoadRow(*key)), request.fields)
        return [rows[key] for key in sorted(rows)]


def _group_of(request: _Ended, group: LoadGroup) -> str:
    if group is LoadGroup.ALL:
        return ""
    if group is LoadGroup.ENTRY:
        return request.who
    if group is LoadGroup.SIZE:
        return _size_class(int(request.fields.get("prompt_tokens", "-1")))
    return request.fields.get(group.value, "")


def _size_class(tokens: int) -> str:
    """Return a range of prompt tokens."""
    if tokens < 0:
        return "none"
    bound = 1
    while bound <= tokens:
        bound *= SIZE_STEP
    return f"{bound // SIZE_STEP}-{bound - 1}"


def _count(row: LoadRow, fields: dict[str, str]) -> None:
    row.ended += 1
    spent_before_s = float(fields.get("spent_before_s", "0"))
    row.returned += spent_before_s > 0
    outcome = fields.get("outcome", "")
    if outcome == "served":
        is_late = _is_late(fields, spent_before_s)
        row.late += is_late
        row.in_time += not is_late
        return
    row.reasons[fields.get("reason", "")] += 1
    if outcome == "caller_gone":
        row.caller_gone += 1
    elif outcome == "answered" and fields.get("status") in REFUSED_STATUSES:
        row.refused += 1
    else:
        row.failed += 1


def _is_late(fields: dict[str, str], spent_before_s: float) -> bool:
    objective_s = float(fields.get("objective_s", "-1"))
    if objective_s <= 0:
        return False
    first_event_s = float(fields.get("first_event_s", "-1"))
    # An answer that isn't a stream counts by its end.
    until_s = first_event_s if first_event_s >= 0 else float(fields.get("took_s", "0"))
    return spent_before_s + until_s > objective_s
