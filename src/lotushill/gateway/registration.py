"""How gateways find each other: an object of each in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import anyio

from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random

    from lotushill.event_log import EventLog
    from lotushill.gateway.peers import Peers
    from lotushill.gateway.settings import GatewaySettings
    from lotushill.platform.object_store import ObjectStore

KIND = "lotushill-gateways"
"""The kind of the platform's store that holds an object of each gateway."""
_EARLY_SECONDS = (0.3, 1.0, 3.0)
_LATER_SECONDS = 15.0
_RETRY_SECONDS = 0.5


class Registration:
    """Writes the own address once and reads those of the others now and then.

    Nothing of it is needed for a request: it only seeds the membership.
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

    async def run(self) -> None:
        """Register, then look for others for ever."""
        await self._register()
        for pause in _EARLY_SECONDS:
            await anyio.sleep(pause)
            await self._look(stale=False)
        while True:
            await anyio.sleep(_LATER_SECONDS * self._rng.uniform(0.7, 1.3))
            await self._look(stale=True)

    async def _register(self) -> None:
        name = self._settings.name
        spec = {
            "peers": self._settings.peers,
            "zone": self._settings.zone,
            "status": self._settings.readiness,
        }
        while True:
            try:
                await self._store.create(KIND, name, spec)
                return
            except RevisionConflictError:
                # It is there from an earlier life; the address of a node hardly ever changes.
                try:
                    await self._store.replace(KIND, name, spec)
                    return
                except StoreError as error:
                    self._log.note("registration.failed", error=repr(error))
            except StoreError as error:
                self._log.note("registration.failed", error=repr(error))
            await anyio.sleep(_RETRY_SECONDS * self._rng.uniform(0.7, 1.3))

    async def _look(self, stale: bool) -> None:
        try:
            listed = await self._store.list_kind(KIND, stale)
        except StoreError:
            return
        addresses = [item.spec.get("peers") for item in listed.objects if item.spec]
        self._peers.membership.add_seeds(item for item in addresses if isinstance(item, str))
