"""Split a stream of server-sent events so that only whole events are passed on."""

from __future__ import annotations

import re
from collections.abc import Iterator

from attrs import define, field, frozen

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_DELIMITER = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# An event larger than this is no event of an engine and would only fill memory.
MAX_EVENT_BYTES = 1_000_000


@frozen
class StreamEvent:
    """Hold one event's bytes with the blank line that ends it, and its id if it has one."""

    body: bytes
    id: bytes | None

    @property
    def number(self) -> int | None:
        """Return the id as a number, None when it is none."""
        return int(self.id) if self.id is not None and self.id.isdigit() else None


@define
class EventSplitter:
    """Collect bytes and return the events that are complete."""

    _buffer: bytearray = field(factory=bytearray)

    @property
    def has_partial_event(self) -> bool:
        """Say whether bytes of an unfinished event are held."""
        return bool(self._buffer)

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Take bytes; raises ValueError when an event grows beyond its limit."""
        self._buffer += piece
        while (end := _EVENT_DELIMITER.search(self._buffer)) is not None:
            body = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            found = _EVENT_ID.search(body)
            yield StreamEvent(body, found[1] if found else None)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event is over {MAX_EVENT_BYTES} bytes")
