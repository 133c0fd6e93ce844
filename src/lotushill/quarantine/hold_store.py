"""Writes held requests to the platform's store, and removes those that were cleared."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from lotushill import clock as clocks
from lotushill.quarantine.stored_hold import KIND
from lotushill.quarantine.stored_hold import StoredHold
from lotushill.quarantine.suspected_part import SuspectedPart
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.quarantine.hold_view import HoldView
    from lotushill.quarantine.quarantine import Quarantine

_WRITE_DELAY_SECONDS = 0.5
"""Seconds for which a hold must persist before it is written.

Within this time other gateways may report that the request is known good.
"""
_PEER_WRITE_DELAY_SECONDS = (4.0, 30.0)
"""Range of the random delay after which a gateway writes a hold that only others observed.

It does so only if they have not written it. Hundreds of gateways that write at the same moment
would use up the write rate of the store.
"""
_RETRY_DELAY_SECONDS = (1.0, 3.0)
"""Range of the random delay between two attempts while the store is unavailable."""
_MAX_STORED = 512
"""Limit of the objects of this kind in the store.

At the limit the oldest object of the same team is deleted, or the oldest of all if the team has
none.
"""
_MAX_CALLS = 4
"""Limit of the writes, and of the deletions, per reconciliation.

Many simultaneous suspects thus use only a small part of the request rate of the store.
"""


class Store(Protocol):
    """The store operations that this module uses."""

    async def create(self, kind: str, name: str, spec: Any) -> object:
        """Create an object; raise RevisionConflictError if it exists."""
        ...

    async def delete(self, kind: str, name: str) -> None:
        """Delete an object."""
        ...


class HoldStore:
    """Reconciles the store with a quarantine, a few calls at a time."""

    def __init__(
        self,
        store: Store,
        quarantine: Quarantine,
        view: HoldView,
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float] = clocks.now,
        wall: Callable[[], float] = time.time,
    ) -> None:
        self._store = store
        self._quarantine = quarantine
        self._view = view
        self._log = log
        self._rng = rng
        self._clock = clock
        self._wall = wall
        self._due: dict[bytes, float] = {}
        """Holds that are not in the store, with the time at which this gateway writes them."""
        self._retry_at = float("-inf")
        self._written: set[bytes] = set()
        """Holds written by this gateway that the view does not contain yet."""

    async def reconcile(self) -> None:
        """Write holds that are due and delete those that were cleared; retry after an outage."""
        now = self._clock()
        if now < self._retry_at:
            return
        due = self._due_identities(now)
        cleared = self._quarantine.stored_but_cleared()
        try:
            for identity in due[:_MAX_CALLS]:
                await self._write(identity)
            for identity in cleared[:_MAX_CALLS]:
                await self._store.delete(KIND, identity.hex())
        except StoreError as error:
            self._retry_at = self._clock() + self._rng.uniform(*_RETRY_DELAY_SECONDS)
            self._log.note("quarantine.unwritten", error=repr(error))

    def _due_identities(self, now: float) -> list[bytes]:
        unstored = set(self._quarantine.unstored())
        self._due = {item: self._due.get(item) or self._write_time(item, now) for item in unstored}
        self._written &= unstored
        return [item for item, due in self._due.items() if now >= due and item not in self._written]

    def _write_time(self, identity: bytes, now: float) -> float:
        suspect = self._quarantine.find(identity)
        if suspect is not None and suspect.observed_locally:
            # A part is judged only after the reports of other gateways have arrived.
            is_part = isinstance(suspect, SuspectedPart)
            return now if is_part else now + _WRITE_DELAY_SECONDS
        return now + self._rng.uniform(*_PEER_WRITE_DELAY_SECONDS)

    async def _write(self, identity: bytes) -> None:
        suspect = self._quarantine.find(identity)
        if suspect is None:
            return
        await self._evict_if_full(suspect.team)
        hold = StoredHold(
            suspect.team, suspect.path, tuple(suspect.failed_upstreams), round(self._wall(), 3)
        )
        try:
            await self._store.create(KIND, identity.hex(), hold.to_spec())
        except RevisionConflictError:
            # Another gateway that observed the same failures has written the hold.
            pass
        self._written.add(identity)

    async def _evict_if_full(self, team: str) -> None:
        holds = self._view.holds
        if len(holds) < _MAX_STORED:
            return
        of_same_team = [item for item, hold in holds.items() if hold.team == team]
        oldest = min(of_same_team or holds, key=lambda item: holds[item].since)
        await self._store.delete(KIND, oldest.hex())
