"""Keeps in the platform's store where the streams of this gateway began.

All gateways may be lost at once, and nothing else knows at which version a stream began. Each
gateway of a small fleet therefore writes one object with its open streams every few seconds. The
objects of a large fleet would be too large to be read by every gateway that starts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lotushill.links.origin_messages import StreamOrigin
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any
    from typing import Protocol

    from lotushill.event_log import EventLog
    from lotushill.versions.origin_records import OriginRecords
    from lotushill.views.stored_object import ObjectList

    class Store(Protocol):
        """The store operations that this module uses."""

        async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
            """Return all objects of a kind."""
            ...

        async def create(self, kind: str, name: str, spec: Any) -> object:
            """Create an object; raise RevisionConflictError if it exists."""
            ...

        async def replace(self, kind: str, name: str, spec: Any) -> object:
            """Replace the spec of an object."""
            ...


KIND = "lotushill-stream-origins"
"""Kind of objects in the platform's store that contains one object per gateway."""
_STREAMS = "streams"
"""Key of the list of `[request, service, version, end]`; the end is in seconds of the time of day,
after which the stream cannot be taken up."""
_POLL_INTERVAL_SECONDS = 0.1
_WRITE_INTERVAL_SECONDS = 1.0
"""Interval between two writes while several versions serve."""
_SOLE_VERSION_WRITE_INTERVAL_SECONDS = 4.0
"""The same while every service has one version, at which nearly all streams go on anyway."""
_RETRY_INTERVAL_SECONDS = 1.0
_MAX_STREAMS = 5_000
"""Maximum number of streams in one object, which keeps it below the store's limit of a value."""
_MAX_LIFETIME_SECONDS = 600.0
"""Longest time for which a record is believed that was read from the store."""


class StoredOrigins:
    """Reads the origins of all gateways once, and writes those of this one."""

    def __init__(
        self,
        name: str,
        store: Store,
        records: OriginRecords,
        log: EventLog,
        clock: Callable[[], float],
        wall: Callable[[], float],
        is_small_fleet: Callable[[], bool],
        has_several_versions: Callable[[], bool],
    ) -> None:
        """Keep the streams of the gateway `name`; what is read goes to `records`.

        `clock` and `wall` return seconds, `wall` those of the time of day.
        """
        self._name = name
        self._store = store
        self._records = records
        self._log = log
        self._clock = clock
        self._wall = wall
        self._is_small_fleet = is_small_fleet
        self._has_several_versions = has_several_versions
        self._own: dict[str, tuple[str, str, float]] = {}
        """Service, version and end of the streams of this gateway, by request; oldest first."""
        self._is_changed = False
        self._written_at = float("-inf")
        self._exists = False
        """Whether the object of this gateway exists."""

    def note(self, origin: StreamOrigin) -> None:
        """Record a stream that begins at this gateway."""
        end = self._wall() + origin.seconds
        self._own[origin.request] = (origin.service, origin.version, end)
        self._is_changed = True
        while len(self._own) > _MAX_STREAMS:
            del self._own[next(iter(self._own))]

    async def run(self) -> None:
        """Read what former gateways have written, then write forever."""
        await self._retry(self._read)
        while True:
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
            if self._is_changed and self._is_small_fleet() and self._is_due():
                await self._retry(self._write)

    def _is_due(self) -> bool:
        several = self._has_several_versions()
        interval = _WRITE_INTERVAL_SECONDS if several else _SOLE_VERSION_WRITE_INTERVAL_SECONDS
        return self._clock() - self._written_at >= interval

    async def _retry(self, call: Callable[[], Any]) -> None:
        while True:
            try:
                await call()
                return
            except StoreError as error:
                self._log.note("origins.unsaved", error=repr(error))
            await anyio.sleep(_RETRY_INTERVAL_SECONDS)

    async def _read(self) -> None:
        for item in (await self._store.list_kind(KIND)).objects:
            for stream in _streams_of(item.spec):
                self._receive(*stream, is_own=item.name == self._name)
            self._exists = self._exists or item.name == self._name

    def _receive(self, request: str, service: str, version: str, end: float, is_own: bool) -> None:
        seconds = min(_MAX_LIFETIME_SECONDS, end - self._wall())
        if seconds <= 0:
            return
        self._records.note(StreamOrigin(request, service, version, seconds), self._clock())
        if is_own:
            # The first write would remove it although the stream may still be taken up.
            self._own.setdefault(request, (service, version, end))

    async def _write(self) -> None:
        now = self._wall()
        self._own = {name: item for name, item in self._own.items() if item[2] > now}
        spec = {_STREAMS: [[name, *item] for name, item in self._own.items()]}
        self._written_at, self._is_changed = self._clock(), False
        try:
            if not self._exists:
                await self._store.create(KIND, self._name, spec)
            else:
                await self._store.replace(KIND, self._name, spec)
        except RevisionConflictError:
            await self._store.replace(KIND, self._name, spec)
        except StoreError:
            self._is_changed = True
            raise
        self._exists = True


def _streams_of(spec: Any) -> list[tuple[str, str, str, float]]:
    """Return the streams that an object lists; what cannot be read is left out."""
    streams = spec.get(_STREAMS) if isinstance(spec, dict) else None
    return [
        (item[0], item[1], item[2], float(item[3]))
        for item in (streams if isinstance(streams, list) else ())
        if isinstance(item, list)
        and len(item) == 4
        and all(isinstance(text, str) for text in item[:3])
        and isinstance(item[3], int | float)
    ]
