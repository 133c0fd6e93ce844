"""The events of the last requests, which `lotushill explain` shows."""

from __future__ import annotations

from collections import OrderedDict

_REQUESTS = 300
_EVENTS = 24
"""Events kept for one request: more than any served request can have."""

Event = dict[str, object]
"""Fields of one log line."""


class Journal:
    """Events of the last requests by request id; the oldest request is evicted first."""

    def __init__(self, requests: int = _REQUESTS) -> None:
        self._requests = requests
        self._events: OrderedDict[str, list[Event]] = OrderedDict()

    def add(self, request: str, event: Event) -> None:
        """Store one event of a request."""
        held = self._events.setdefault(request, [])
        if len(held) < _EVENTS:
            held.append(event)
        if len(self._events) > self._requests:
            self._events.popitem(last=False)

    def events_of(self, request: str) -> list[Event]:
        """Return the events of a request in order, none if it is not stored."""
        return list(self._events.get(request, ()))
