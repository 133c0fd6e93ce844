"""Discovery of the other gateways by an object of each in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random

    from lotushill.event_log import EventLog
    from lotushill.peering.peers import Peers
    from lotushill.platform.object_store import ObjectStore
    from lotushill.process.settings import GatewaySettings

KIND = "lotushill-gateways"
"""Kind of objects in the platform's store that contains one object per gateway."""
_FRESH_READ_DELAY_SECONDS = (0.15, 0.6)
"""Range of delays after which a gateway that has found no other, as when all start at once, reads
the current list. The first gateways to do so find many others, which then need not read it."""
_EARLY_READ_INTERVALS_SECONDS = (1.5, 5.0)
"""Intervals before the next reads, which find gateways that registered a little later."""
_READ_INTERVAL_SECONDS = 20.0
_READ_INTERVAL_ALONE_SECONDS = 3.0
"""Shorter read interval while no other gateway is known: the store may have been unreachable."""
_RETRY_INTERVAL_SECONDS = 0.5


class Registration:
    """Writes this gateway's address once and reads those of the other gateways periodically.

    No request depends on it: it only seeds the membership.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        store: ObjectStore,
        peers: Peers,
        log: EventLog,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._store = store
        self._peers = peers
        self._log = log
        self._rng = rng
        self.registered_count = 0
        """Number of gateways that were registered at the last read, 0 before the first."""

    async def run(self) -> None:
        """Read the registered gateways, register, and read them again periodically, forever."""
        if not await self._read_registered():
            await self._register()
        await anyio.sleep(self._rng.uniform(*_FRESH_READ_DELAY_SECONDS))
        if self._is_alone():
            await self._read_registered(stale=False)
        for pause in _EARLY_READ_INTERVALS_SECONDS:
            await anyio.sleep(pause * self._rng.uniform(0.7, 1.3))
            await self._read_registered()
        while True:
            interval = _READ_INTERVAL_ALONE_SECONDS if self._is_alone() else _READ_INTERVAL_SECONDS
            await anyio.sleep(interval * self._rng.uniform(0.7, 1.3))
            await self._read_registered()

    def _is_alone(self) -> bool:
        return len(self._peers.membership.live()) < 2

    async def _register(self) -> None:
        name, spec = self._settings.name, self._spec()
        while True:
            try:
                await self._store.create(KIND, name, spec)
                return
            except RevisionConflictError:
                # The object exists from an earlier incarnation, at another address.
                try:
                    await self._store.replace(KIND, name, spec)
                    return
                except StoreError as error:
                    self._log.note("registration.failed", error=repr(error))
            except StoreError as error:
                self._log.note("registration.failed", error=repr(error))
            await anyio.sleep(_RETRY_INTERVAL_SECONDS * self._rng.uniform(0.7, 1.3))

    async def _read_registered(self, stale: bool = True) -> bool:
        """Read the registered gateways; return whether its own object is up to date.

        A stale answer may be seconds old, but costs the store and this gateway far less.
        """
        try:
            listed = await self._store.list_kind(KIND, stale)
        except StoreError:
            return False
        specs = {item.name: item.spec for item in listed.objects if isinstance(item.spec, dict)}
        self.registered_count = len(specs)
        addresses = [spec.get("peers") for spec in specs.values()]
        self._peers.membership.add_seeds(item for item in addresses if isinstance(item, str))
        return specs.get(self._settings.name) == self._spec()

    def _spec(self) -> dict[str, str]:
        settings = self._settings
        return {"peers": settings.peers, "hall": settings.hall, "status": settings.readiness}
