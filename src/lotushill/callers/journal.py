"""What happened to recent requests, for `lotushill explain`."""

from __future__ import annotations

import time
from collections import OrderedDict
from dataclasses import dataclass

_CAPACITY = 2000


@dataclass(frozen=True)
class Entry:
    """One event of a request; `at` is seconds since the epoch."""

    at: float
    text: str


class Journal:
    """The events of the most recent requests."""

    def __init__(self, capacity: int = _CAPACITY) -> None:
        self._capacity = capacity
        self._requests: OrderedDict[str, list[Entry]] = OrderedDict()

    def note(self, request: str, text: str) -> None:
        """Note one event."""
        self._requests.setdefault(request, []).append(Entry(time.time(), text))
        while len(self._requests) > self._capacity:
            self._requests.popitem(last=False)

    def find(self, request: str) -> tuple[Entry, ...]:
        """Return the events of a request, the oldest first."""
        return tuple(self._requests.get(request, ()))
