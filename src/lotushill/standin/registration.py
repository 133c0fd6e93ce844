"""How a stand-in of an upstream keeps its entry in the platform's store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from lotushill.platform import names
from lotushill.platform.object_store import ObjectStore
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    from lotushill.standin.settings import StandinSettings

_HEARTBEAT_SECONDS = 1.0


class UpstreamEntry:
    """Writes the entry, keeps it alive, and says when its upstream leaves."""

    def __init__(self, settings: StandinSettings) -> None:
        assert settings.store is not None
        self._settings = settings
        self._store = ObjectStore(settings.store)
        self._born = time.time_ns() // 1_000_000

    async def run_heartbeats(self) -> None:
        """Write the entry for ever."""
        while True:
            await self._write("ready")
            await asyncio.sleep(_HEARTBEAT_SECONDS)

    async def mark_draining(self) -> None:
        """Say that the upstream gets no new requests."""
        await self._write(names.DRAINING)

    async def remove(self) -> None:
        """Take the entry away."""
        try:
            await self._store.delete(names.BACKEND_KIND, self._settings.name)
        except StoreError:
            pass

    async def _write(self, state: str) -> None:
        settings = self._settings
        spec = upstream_spec(
            settings.service, settings.address, settings.hall, settings.slots, self._born, state
        )
        try:
            if await self._store.get(names.BACKEND_KIND, settings.name) is None:
                await self._store.create(names.BACKEND_KIND, settings.name, spec)
            else:
                await self._store.replace(names.BACKEND_KIND, settings.name, spec)
        except StoreError:
            # The store is away: the next heartbeat tries again.
            pass


def upstream_spec(
    service: str, address: str, hall: str, slots: int, born: int, state: str = "ready"
) -> dict[str, object]:
    """Return the entry of an upstream; `born` is in milliseconds since 1970."""
    return {
        "service": service,
        "address": address,
        "zone": hall,
        "version": "v1",
        "slots": slots,
        "state": state,
        names.COLD_MS: 0,
        names.SEQUENCE: 0,
        "born": born,
    }
