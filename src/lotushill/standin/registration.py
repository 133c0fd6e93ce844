"""Maintains the entry of an upstream's stand-in in the platform's store."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from lotushill.platform import names
from lotushill.platform.object_store import ObjectStore
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    from lotushill.standin.settings import StandinSettings

_HEARTBEAT_INTERVAL_SECONDS = 1.0


class UpstreamEntry:
    """Writes an upstream's entry, renews it by heartbeats and marks it as draining."""

    def __init__(self, settings: StandinSettings) -> None:
        assert settings.store is not None
        self._settings = settings
        self._store = ObjectStore(settings.store)
        self._started_at_ms = time.time_ns() // 1_000_000

    async def run_heartbeats(self) -> None:
        """Write the entry at every heartbeat until cancelled."""
        while True:
            await self._write("ready")
            await asyncio.sleep(_HEARTBEAT_INTERVAL_SECONDS)

    async def mark_draining(self) -> None:
        """Mark the upstream as draining, so that it gets no new requests."""
        await self._write(names.DRAINING)

    async def remove(self) -> None:
        """Delete the entry."""
        try:
            await self._store.delete(names.BACKEND_KIND, self._settings.name)
        except StoreError:
            pass

    async def _write(self, state: str) -> None:
        settings = self._settings
        spec = upstream_spec(
            settings.service,
            settings.address,
            settings.hall,
            settings.slots,
            self._started_at_ms,
            state,
            settings.version,
        )
        try:
            if await self._store.get(names.BACKEND_KIND, settings.name) is None:
                await self._store.create(names.BACKEND_KIND, settings.name, spec)
            else:
                await self._store.replace(names.BACKEND_KIND, settings.name, spec)
        except StoreError:
            # The store is unavailable: the next heartbeat retries.
            pass


def upstream_spec(
    service: str,
    address: str,
    hall: str,
    slots: int,
    born: int,
    state: str = "ready",
    version: str = "v1",
) -> dict[str, object]:
    """Return the entry of an upstream; `born` is its start in milliseconds since 1970."""
    return {
        "service": service,
        "address": address,
        "zone": hall,
        "version": version,
        "slots": slots,
        "state": state,
        names.COLD_MS: 0,
        names.SEQUENCE: 0,
        "born": born,
    }
