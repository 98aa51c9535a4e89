"""Show the timeline of one request, read from the logs of several processes."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from datetime import datetime
from pathlib import Path

from daisystack.core.log_lines import read_log_lines
from daisystack.core.request_timeline import TimelineBuilder, TimelineEntry, TimelineEntryKind
from daisystack.log_files import open_all

__all__ = ["explain_request"]

# Fields that are shown first, in this order.
LEADING_FIELDS = ("outcome", "end", "status", "verdict", "reason")
# Values of fields that no decision has set; such fields are not shown.
UNSET_VALUES = ("", "-1", "-1.0")


def explain_request(request_id: str, paths: Iterable[Path]) -> list[str]:
    """Return a request's timeline, one line per entry; raise OSError if a file can't be read.

    The result is empty if no log line contains the request id. Without paths, lines are read from
    standard input.
    """
    builder = TimelineBuilder()
    with ExitStack() as open_files:
        for lines in open_all(paths, open_files):
            builder.add_lines(read_log_lines(lines))
    entries = builder.build(request_id)
    if not entries:
        return []
    ended_at = max(entry.line.at for entry in entries if entry.kind is TimelineEntryKind.REQUEST)
    return [
        *(_format_entry(entry, ended_at) for entry in entries),
        *_format_footer(builder, request_id),
    ]


def _format_entry(entry: TimelineEntry, ended_at: datetime) -> str:
    line = entry.line
    offset_s = (line.at - ended_at).total_seconds()
    fields = dict(line.fields)
    fields.pop("request_id", None)
    leading = {name: fields.pop(name) for name in LEADING_FIELDS if name in fields}
    shown = {name: value for name, value in (leading | fields).items() if value not in UNSET_VALUES}
    text = ", ".join(f"{name} {value}" for name, value in shown.items())
    return f"{offset_s:+9.3f} s  {entry.kind:8}  {line.who}  {line.event}: {text}"


def _format_footer(builder: TimelineBuilder, request_id: str) -> Iterator[str]:
    outcomes = builder.count_concurrent_outcomes(request_id)
    if outcomes:
        text = ", ".join(f"{count} {outcome}" for outcome, count in sorted(outcomes.items()))
        yield f"other requests that ended at the same last upstream within a second: {text}"
    if builder.lines_left_out:
        yield f"{builder.lines_left_out} lines are missing from these logs"
