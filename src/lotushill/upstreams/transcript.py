"""What a streamed answer has given so far, in whole events."""

from __future__ import annotations

import json

_END = b"\n\n"
_EVENT = b"data: "
_DONE = b"data: [DONE]"


class Transcript:
    """Cuts a stream at event boundaries, so that another engine can take it up there."""

    def __init__(self) -> None:
        self._tail = b""
        self._relayed: list[bytes] = []
        self.tokens = 0
        """Events with content relayed so far, over all attempts."""
        self.done = False
        """Whether the closing event came."""

    def feed(self, chunk: bytes) -> bytes:
        """Take in bytes of the stream and return the whole events among them."""
        data = self._tail + chunk if self._tail else chunk
        cut = data.rfind(_END) + len(_END)
        if cut < len(_END):
            self._tail = data
            return b""
        self._tail = data[cut:]
        return data[:cut] if self._tail else data

    def commit(self, events: bytes) -> None:
        """Note that events have been written to the caller; until then they may be lost."""
        self._relayed.append(events)
        # Text inside an event is JSON and holds no line breaks, so only a line can begin so.
        self.tokens += events.startswith(_EVENT) + events.count(b"\n" + _EVENT)
        if events.startswith(_DONE) or b"\n" + _DONE in events:
            self.done = True
            self.tokens -= 1

    def restart(self) -> None:
        """Drop what a broken attempt left of an event."""
        self._tail = b""

    def text(self) -> str:
        """Return the text that the caller has been given."""
        parts: list[str] = []
        for line in b"".join(self._relayed).split(b"\n"):
            if line.startswith(_EVENT) and line != _DONE:
                parts.append(_content(line[len(_EVENT) :]))
        return "".join(parts)


def _content(data: bytes) -> str:
    try:
        choice = json.loads(data)["choices"][0]
        return str(choice["delta"].get("content") or "" if "delta" in choice else choice["text"])
    except (ValueError, KeyError, IndexError, TypeError, AttributeError):
        return ""
