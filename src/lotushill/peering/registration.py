"""How gateways find each other: an object of each in the platform's store."""

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
"""The kind of the platform's store that holds an object of each gateway."""
_ALONE_SECONDS = (0.15, 0.6)
"""Some moment in which one that has found nobody, as when all start at once, asks for what is true
now. The first ones to do so find many others, who then need not ask."""
_LOOK_SECONDS = (1.5, 5.0)
"""Pauses before the looks that follow the first ones: for those that registered a little later."""
_LATER_SECONDS = 20.0
_ALONE_AGAIN_SECONDS = 3.0
"""One that still knows nobody looks more often: the store may have been away."""
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
        self.registered_count = 0
        """How many gateways were registered at the last look, 0 before the first."""

    async def run(self) -> None:
        """Look for others, register, and look again now and then, for ever."""
        if not await self._look():
            await self._register()
        await anyio.sleep(self._rng.uniform(*_ALONE_SECONDS))
        if self._is_alone():
            await self._look(stale=False)
        for pause in _LOOK_SECONDS:
            await anyio.sleep(pause * self._rng.uniform(0.7, 1.3))
            await self._look()
        while True:
            later = _ALONE_AGAIN_SECONDS if self._is_alone() else _LATER_SECONDS
            await anyio.sleep(later * self._rng.uniform(0.7, 1.3))
            await self._look()

    def _is_alone(self) -> bool:
        return len(self._peers.membership.live()) < 2

    async def _register(self) -> None:
        name, spec = self._settings.name, self._spec()
        while True:
            try:
                await self._store.create(KIND, name, spec)
                return
            except RevisionConflictError:
                # It is there from an earlier life, at another address.
                try:
                    await self._store.replace(KIND, name, spec)
                    return
                except StoreError as error:
                    self._log.note("registration.failed", error=repr(error))
            except StoreError as error:
                self._log.note("registration.failed", error=repr(error))
            await anyio.sleep(_RETRY_SECONDS * self._rng.uniform(0.7, 1.3))

    async def _look(self, stale: bool = True) -> bool:
        """Read who is there; return whether the own object is as it should be.

        A stale answer may be seconds old, and costs the store and us far less.
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
