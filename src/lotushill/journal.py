"""The events of the last requests, which `lotushill explain` shows."""

from __future__ import annotations

from collections import OrderedDict

_MAX_REQUESTS = 300
_MAX_EVENTS_PER_REQUEST = 24
"""Events kept for one request: more than any served request can have."""

Event = dict[str, object]
"""Fields of one log line."""


class Journal:
    """Events of the last requests by request id; the oldest request is evicted first."""

    def __init__(self, max_requests: int = _MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._events: OrderedDict[str, list[Event]] = OrderedDict()

    def add(self, request: str, event: Event) -> None:
        """Store one event of a request."""
        events = self._events.setdefault(request, [])
        if len(events) < _MAX_EVENTS_PER_REQUEST:
            events.append(event)
        if len(self._events) > self._max_requests:
            self._events.popitem(last=False)

    def events_of(self, request: str) -> list[Event]:
        """Return the events of a request in order, none if it is not stored."""
        return list(self._events.get(request, ()))
