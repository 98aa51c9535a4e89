"""Show one request's story, read from what several processes logged."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Iterator
from contextlib import ExitStack
from datetime import datetime
from pathlib import Path

from daisystack.core.log_lines import read_log_lines
from daisystack.core.request_timeline import TimelineBuilder, TimelineEntry, TimelineEntryKind

__all__ = ["explain_request"]

# What a request's own line says first, whatever its order there.
LEADING_FIELDS = ("outcome", "end", "status", "verdict", "reason")
# What no decision has set is left out.
UNSET = ("", "-1", "-1.0")


def explain_request(request_id: str, paths: Iterable[Path]) -> list[str]:
    """Return a request's story, a line for each step, empty if no line names it; raises OSError.

    Without paths the lines are read from standard input.
    """
    book = TimelineBuilder()
    with ExitStack() as opened:
        for lines in _open_all(paths, opened):
            book.add_lines(read_log_lines(lines))
    steps = book.build(request_id)
    if not steps:
        return []
    last_at = max(step.line.at for step in steps if step.kind is TimelineEntryKind.REQUEST)
    return [*(_tell(step, last_at) for step in steps), *_tell_rest(book, request_id)]


def _open_all(paths: Iterable[Path], opened: ExitStack) -> Iterator[Iterable[str]]:
    given = list(paths)
    if not given:
        yield sys.stdin
    for path in given:
        yield opened.enter_context(path.open(encoding="utf-8", errors="replace"))


def _tell(step: TimelineEntry, last_at: datetime) -> str:
    line = step.line
    offset_s = (line.at - last_at).total_seconds()
    fields = dict(line.fields)
    fields.pop("request_id", None)
    leading = {name: fields.pop(name) for name in LEADING_FIELDS if name in fields}
    shown = {name: value for name, value in (leading | fields).items() if value not in UNSET}
    told = ", ".join(f"{name} {value}" for name, value in shown.items())
    return f"{offset_s:+9.3f} s  {step.kind:8}  {line.who}  {line.event}: {told}"


def _tell_rest(book: TimelineBuilder, request_id: str) -> Iterator[str]:
    others = book.count_concurrent_outcomes(request_id)
    if others:
        told = ", ".join(f"{count} {outcome}" for outcome, count in sorted(others.items()))
        yield f"others that ended at its last upstream within a second: {told}"
    if book.lines_left_out:
        yield f"{book.lines_left_out} lines were left out of these logs"
