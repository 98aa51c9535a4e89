"""Log each event as one line of key=value pairs."""

from __future__ import annotations

import json
import logging
import re
from enum import Enum

import attrs
import eventlet.patcher
from pythonjsonlogger.core import BaseJsonFormatter

from daisystack.core.audit import AuditEvent, AuditTrail
from daisystack.core.log_rate_limit import LogRateLimiter
from daisystack.runtime.clock import now_s

__all__ = [
    "AUDIT_LOGGER",
    "BoundedHandler",
    "KeyValueFormatter",
    "build_formatter",
    "event_name",
    "log_event",
    "record_audit",
    "set_up_logging",
]

AUDIT_LOGGER = "daisystack.audit"

# Three times the lines of an entry at the users' peak load of requests and changes.
MAX_LINES_PER_S = 150.0
BURST_LINES = 600.0
MAX_LINE_BYTES = 4096
POLLOUT = 4
# The green version waits in the event loop before each write to a pipe.
_write_bytes = eventlet.patcher.original("os").write

_UNQUOTED_PATTERN = re.compile(r"[^\s\"=]+")
_WORD_BOUNDARY_PATTERN = re.compile(r"(?<!^)(?=[A-Z])")


class KeyValueFormatter(BaseJsonFormatter):
    """Format a log record as key=value pairs, quoting values that are not plain words."""

    def serialize_log_record(self, log_data) -> str:
        """Return the log line for the fields of a record."""
        return " ".join(f"{key}={_render(value)}" for key, value in log_data.items())


def build_formatter(instance_id: str) -> KeyValueFormatter:
    """Return a formatter whose lines name the instance."""
    return KeyValueFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "at", "levelname": "level", "name": "stream", "message": "event"},
        static_fields={"who": instance_id},
    )


def set_up_logging(instance_id: str) -> None:
    """Write all log events to standard output; each line names the instance."""
    handler = BoundedHandler()
    handler.setFormatter(build_formatter(instance_id))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Reconnects are already counted by the events of the daemons.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


class BoundedHandler(logging.Handler):
    """Write rate-limited log lines to standard output without waiting for a slow reader."""

    def __init__(self, descriptor: int = 1) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.rate_limiter = LogRateLimiter(MAX_LINES_PER_S, BURST_LINES)
        self._poll = eventlet.patcher.original("select").poll()
        self._poll.register(descriptor, POLLOUT)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        if not self.rate_limiter.try_consume(now_s()):
            return
        dropped = self.rate_limiter.pop_dropped()
        if dropped:
            self._write(self.format(_build_dropped_record(dropped)))
        self._write(self.format(record))

    def _write(self, line: str) -> None:
        # A pipe that is ready accepts a line of up to this size completely.
        body = line.encode("utf-8", "replace")[: MAX_LINE_BYTES - 1] + b"\n"
        if not self._poll.poll(0):
            self.rate_limiter.count_dropped()
            return
        try:
            _write_bytes(self.descriptor, body)
        except OSError:
            # The reader is gone, so the failure can't be reported anywhere.
            self.rate_limiter.count_dropped()


def _build_dropped_record(lines: int) -> logging.LogRecord:
    attributes = {"name": __name__, "levelno": logging.WARNING, "levelname": "WARNING"}
    return logging.makeLogRecord(attributes | {"msg": "log_lines_left_out", "lines": lines})


def log_event(logger: logging.Logger, event: object, level: int = logging.INFO) -> None:
    """Log an attrs object; its class gives the event name, its attributes the fields."""
    logger.log(level, event_name(event), extra=attrs.asdict(event, recurse=False))


def event_name(event: object) -> str:
    """Return the name of an event, which is its class name in snake case."""
    return _WORD_BOUNDARY_PATTERN.sub("_", type(event).__name__).lower()


def record_audit(trail: AuditTrail, event: AuditEvent) -> None:
    """Add an audit event to the trail and log it to the audit logger."""
    trail.add(event)
    fields = attrs.asdict(event, recurse=False)
    fields.pop("who")
    logging.getLogger(AUDIT_LOGGER).info(event.what.value, extra=fields)


def _render(value: object) -> str:
    if isinstance(value, Enum):
        value = value.value
    if isinstance(value, float):
        value = round(value, 6)
    text = str(value)
    return text if _UNQUOTED_PATTERN.fullmatch(text) else json.dumps(text)
