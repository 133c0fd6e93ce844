"""Origins of streams that this gateway knows, each for as long as the stream may be taken up."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.links.origin_messages import StreamOrigin

_MAX_RECORDS = 50_000
"""Maximum number of records; some hundred a second for half a minute are a third of that."""


class OriginRecords:
    """Records by the id of the client's request that brought the first event; pure."""

    def __init__(self) -> None:
        self._records: dict[str, tuple[StreamOrigin, float]] = {}

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def note(self, origin: StreamOrigin, now: float) -> None:
        """Store a record; one that exists stays as it is, for the longer of both times."""
        known = self._records.pop(origin.request, None)
        until = now + origin.seconds
        if known is not None:
            origin, until = known[0], max(known[1], until)
        self._records[origin.request] = (origin, until)
        while len(self._records) > _MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def find(self, request: str, now: float) -> StreamOrigin | None:
        """Return the origin of a stream, None if it is not known."""
        known = self._records.get(request)
        return known[0] if known is not None and now < known[1] else None

    def expire(self, now: float) -> None:
        """Remove the records of streams that cannot be taken up any more."""
        for request in [name for name, (_, until) in self._records.items() if until <= now]:
            del self._records[request]
