"""Holds or takes over the duties through one object of the platform's store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.duty_record import DutyRecord
from lotushill.duties.duty_record import from_spec
from lotushill.duties.duty_record import to_spec
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.duties.call_health import CallHealth
    from lotushill.duties.lease import Lease
    from lotushill.duties.ports import FleetAccess
    from lotushill.duties.ports import Store
    from lotushill.event_log import EventLog
    from lotushill.views.stored_object import StoredObject

KIND = "lotushill-duties"
"""The kind in the platform's store that contains the single object `NAME`."""
NAME = "main"
TICK_SECONDS = 0.25
_RENEWALS_PER_LEASE = 2.5
_CHECKS_PER_LEASE = 3.0
_COLLECTOR_COUNT = 2
"""Number of gateways that collect the counts of all; usually one of them is the holder."""
_MAX_HAND_OVER_WRITES = 2
"""Writes by which a holder hands over: a renewal that was in progress may precede the first one."""


class Ownership:
    """The lease of one gateway, and the record as last read or confirmed."""

    def __init__(
        self,
        lease: Lease,
        store: Store,
        fleet: FleetAccess,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
        lease_seconds: float,
    ) -> None:
        """Hold the duties through `lease`; the arguments of `serve` determine the record."""
        self.lease = lease
        self.record: DutyRecord | None = None
        self._store = store
        self._fleet = fleet
        self._health = health
        self._log = log
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._stored: StoredObject | None = None
        self._is_retired = False
        """Whether this process is stopping and no longer acquires the duties."""

    async def serve(
        self,
        first_record: Callable[[], DutyRecord],
        on_acquired: Callable[[DutyRecord], None],
        next_record: Callable[[DutyRecord], DutyRecord],
        is_urgent: Callable[[], bool],
    ) -> None:
        """Renew the lease while it is held, otherwise acquire it when possible, until cancelled.

        `first_record` creates the record if there is none. `on_acquired` receives the record of the
        former holder. `next_record` adds what is to be recorded, which is written at once if
        `is_urgent` returns true.
        """
        while True:
            due = self._clock()
            written = True
            if self.lease.is_held:
                written = await self._renew(next_record)
                due += self._lease_seconds / _RENEWALS_PER_LEASE
            elif not self._is_retired and self._fleet.reads_store():
                await self._check(first_record, on_acquired)
                due += self._lease_seconds / _CHECKS_PER_LEASE * (1 + min(2, self._fleet.rank()))
            await anyio.sleep(TICK_SECONDS)
            # Urgent data is recorded at once, unless the last write to the store failed.
            while self._clock() < due and not (written and self.lease.is_held and is_urgent()):
                await anyio.sleep(TICK_SECONDS)

    def is_collector(self) -> bool:
        """Return whether this gateway holds the duties or is among the first candidates."""
        return self.lease.is_held or (self._fleet.reads_store() and self._is_first_candidate())

    def lose(self, reason: str) -> None:
        """Stop acting with the present token, for the given reason."""
        holder = self.record.holder if self.record else ""
        self._log.note("duty.lost", why=reason, token=self.lease.token, holder=holder)
        self.lease.lose(self._clock())

    async def retire(self) -> None:
        """Hand over because this process stops, and never acquire the duties again."""
        self._is_retired = True
        await self.hand_over("stopping")

    async def hand_over(self, reason: str) -> None:
        """Let another gateway take over at once if this one holds the duties."""
        record = self.record
        if not self.lease.is_held or record is None or self._stored is None:
            return
        self.lease.lose(self._clock())
        self._log.note("duty.handed_over", why=reason)
        for _ in range(_MAX_HAND_OVER_WRITES):
            await self._try_write(replace(record, holder="", beat=record.beat + 1))
            record = self.record
            if record is None or not record.is_held_by(self.lease.name, self.lease.incarnation):
                return

    def _is_first_candidate(self) -> bool:
        return self._fleet.rank() < _COLLECTOR_COUNT

    async def _check(
        self, first_record: Callable[[], DutyRecord], on_acquired: Callable[[DutyRecord], None]
    ) -> None:
        """Read which gateway holds the duties, and acquire them if none does."""
        try:
            # A stale read costs a tenth of a current one; a write at an old revision is rejected.
            stored = await self._store.get(KIND, NAME, stale=True)
        except StoreError as error:
            self._log.note("duty.not_read", error=repr(error))
            return
        now = self._clock()
        self._update_record(stored)
        self.lease.observe(stored.revision if stored else None, now)
        if stored is not None and self.record is None:
            # A later version may have written it: replacing it would count windows twice.
            self._log.note("duty.unreadable", revision=stored.revision)
        elif stored is None or self.lease.may_acquire(self.record, now, self._is_first_candidate()):
            await self._acquire(self.record or first_record(), on_acquired)

    async def _acquire(self, former: DutyRecord, on_acquired: Callable[[DutyRecord], None]) -> None:
        record = replace(
            former, holder=self.lease.name, life=self.lease.incarnation, beat=former.beat + 1
        )
        sent_at = self._clock()
        if not await self._try_write(record) or self._stored is None:
            return
        self.lease.acquire(self._stored.revision, sent_at)
        self._health.reset()
        self._log.note(
            "duty.taken", token=self.lease.token, former=former.holder, settled=former.settled
        )
        on_acquired(former)

    async def _renew(self, next_record: Callable[[DutyRecord], DutyRecord]) -> bool:
        """Renew the lease; return whether the write is known to be in force."""
        record = self.record
        if record is None:
            self.lose("no record")
            return False
        if self._health.is_unresponsive(self._clock()) and self._fleet.candidates() > 1:
            await self.hand_over("platform does not answer")
            return False
        sent_at = self._clock()
        written = await self._try_write(next_record(record))
        if written:
            self.lease.renew(sent_at)
        return written

    async def _try_write(self, record: DutyRecord) -> bool:
        """Write the record at the last read revision; return whether it is known to be in force."""
        spec = to_spec(record)
        try:
            if self._stored is None:
                written = await self._store.create(KIND, NAME, spec)
            else:
                written = await self._store.replace(KIND, NAME, spec, self._stored.revision)
        except RevisionConflictError:
            return await self._read_again()
        except StoreError as error:
            self._log.note("duty.not_recorded", error=repr(error))
            return False
        self._update_record(written)
        self.lease.observe(written.revision, self._clock())
        return True

    async def _read_again(self) -> bool:
        """Read the record; return whether an unanswered write of this process succeeded."""
        try:
            stored = await self._store.get(KIND, NAME)
        except StoreError as error:
            self._log.note("duty.not_read", error=repr(error))
            return False
        self._update_record(stored)
        self.lease.observe(stored.revision if stored else None, self._clock())
        if self.record is not None and self.record.is_held_by(
            self.lease.name, self.lease.incarnation
        ):
            return True
        if self.lease.is_held:
            self.lose("taken by another")
        return False

    def _update_record(self, stored: StoredObject | None) -> None:
        self._stored = stored
        self.record = from_spec(stored.spec) if stored else None
