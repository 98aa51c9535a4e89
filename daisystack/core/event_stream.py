"""Split a stream of server-sent events so that only complete events are forwarded."""

from __future__ import annotations

import re
from collections.abc import Iterator

from attrs import define, field, frozen

from daisystack.core.numbers import parse_whole_number

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_DELIMITER = re.compile(rb"\r\n\r\n|\n\n|\r\r")
# A field of an event, or a comment; receivers ignore all other lines.
_KNOWN_LINE = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|[\r\n])(?:(?:data|event|id|retry)[:\r\n]|:)")
_EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
# Bytes of a delimiter that may have arrived without its end.
_PARTIAL_DELIMITER_BYTES = 3
# An engine sends no event larger than this; buffering one would only use up memory.
MAX_EVENT_BYTES = 1_000_000


@frozen
class StreamEvent:
    """Bytes of one event, including the blank line that ends it, and its id if it has one."""

    body: bytes
    id: bytes | None

    @property
    def is_valid(self) -> bool:
        """Return whether the bytes are an event or a comment, and not some other text."""
        return bool(_KNOWN_LINE.search(self.body)) or not self.body.strip()

    @property
    def number(self) -> int | None:
        """Return the id as a number, or None if it is absent or not a number."""
        return parse_whole_number(self.id) if self.id is not None else None


@define
class EventSplitter:
    """Buffer of received bytes that returns the events completed by them."""

    _buffer: bytearray = field(factory=bytearray)
    # Up to here the buffer holds no end of an event.
    _searched: int = 0

    @property
    def partial_bytes(self) -> int:
        """Return how many bytes of an incomplete event are buffered."""
        return len(self._buffer)

    def feed(self, piece: bytes) -> Iterator[StreamEvent]:
        """Yield the events that the bytes complete; raise ValueError if one is too large."""
        self._buffer += piece
        while (end := _EVENT_DELIMITER.search(self._buffer, self._searched)) is not None:
            body = bytes(self._buffer[: end.end()])
            del self._buffer[: end.end()]
            self._searched = 0
            match = _EVENT_ID.search(body)
            yield StreamEvent(body, match[1] if match else None)
        self._searched = max(0, len(self._buffer) - _PARTIAL_DELIMITER_BYTES)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError(f"event is over {MAX_EVENT_BYTES} bytes")
