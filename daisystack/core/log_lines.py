"""Parse the log lines of daemons."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from datetime import datetime

from attrs import frozen

__all__ = ["LogLine", "read_log_lines"]

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


@frozen
class LogLine:
    """One logged event; at is read from the clock of the process that logged it."""

    at: datetime
    who: str
    event: str
    fields: dict[str, str]


def read_log_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events among lines and skip all other lines."""
    for line in lines:
        fields = {name: _unquote(value) for name, value in _PAIR.findall(line)}
        at = _read_time(fields.pop("at", ""))
        who = fields.pop("who", "")
        event = fields.pop("event", "")
        if at is None or not who or not event:
            continue
        fields.pop("level", None)
        fields.pop("stream", None)
        yield LogLine(at, who, event, fields)


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return json.loads(value)
    except ValueError:
        return value


def _read_time(text: str) -> datetime | None:
    try:
        return datetime.strptime(text, _TIME_FORMAT)
    except ValueError:
        return None
