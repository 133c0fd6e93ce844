"""What was decided about the last requests, for `lotushill explain`."""

from __future__ import annotations

from collections import OrderedDict

_REQUESTS = 300
_EVENTS = 24
"""Of one request: more than any that is served can have."""

Event = dict[str, object]
"""The fields of one line of the log."""


class Journal:
    """The events of the last requests by their id, the oldest first to give way."""

    def __init__(self, requests: int = _REQUESTS) -> None:
        self._requests = requests
        self._events: OrderedDict[str, list[Event]] = OrderedDict()

    def add(self, request: str, event: Event) -> None:
        """Keep one event of a request."""
        held = self._events.setdefault(request, [])
        if len(held) < _EVENTS:
            held.append(event)
        if len(self._events) > self._requests:
            self._events.popitem(last=False)

    def events_of(self, request: str) -> list[Event]:
        """Return the events of a request in order, none if it is not remembered."""
        return list(self._events.get(request, ()))
