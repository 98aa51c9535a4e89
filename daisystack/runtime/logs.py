"""Write one line of key=value pairs for each event."""

from __future__ import annotations

import json
import logging
import re
import sys
from enum import Enum

import attrs
from pythonjsonlogger.core import BaseJsonFormatter

from daisystack.core.audit import AuditEvent, AuditTrail

__all__ = ["AUDIT_LOGGER", "KeyValueFormatter", "log_event", "record_audit", "set_up_logging"]

AUDIT_LOGGER = "daisystack.audit"

_PLAIN = re.compile(r"[^\s\"=]+")
_WORD_BORDER = re.compile(r"(?<!^)(?=[A-Z])")


class KeyValueFormatter(BaseJsonFormatter):
    """Render a log record as key=value pairs, quoting what is not a plain word."""

    def serialize_log_record(self, log_data) -> str:
        """Return the line for a record's fields."""
        return " ".join(f"{key}={_render(value)}" for key, value in log_data.items())


def set_up_logging(who: str) -> None:
    """Send events to standard output, each line naming the instance."""
    formatter = KeyValueFormatter(
        ["asctime", "levelname", "name", "message"],
        rename_fields={"asctime": "at", "levelname": "level", "name": "stream", "message": "event"},
        static_fields={"who": who},
    )
    handler = logging.StreamHandler(sys.stdout)
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    # Reconnects are counted by our own events.
    logging.getLogger("urllib3").setLevel(logging.ERROR)
    logging.getLogger("thrift").setLevel(logging.CRITICAL)


def log_event(logger: logging.Logger, event: object, level: int = logging.INFO) -> None:
    """Log an attrs object under its class's name."""
    logger.log(level, event_name(event), extra=attrs.asdict(event, recurse=False))


def event_name(event: object) -> str:
    """Return the snake-case name of an event's class."""
    return _WORD_BORDER.sub("_", type(event).__name__).lower()


def record_audit(trail: AuditTrail, event: AuditEvent) -> None:
    """Keep an audit event in memory and log it on its own stream."""
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
    return text if _PLAIN.fullmatch(text) else json.dumps(text)
