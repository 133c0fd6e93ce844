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
_RENEWALS_A_LEASE = 2.5
_LOOKS_A_LEASE = 3.0
_COLLECTORS = 2
"""Number of gateways that collect the counts of all; usually one of them is the holder."""


class Ownership:
    """The lease of one gateway, and the record as last read or confirmed."""

    def __init__(
        self,
        lease: Lease,
        store: Store,
        sight: FleetAccess,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
        lease_seconds: float,
    ) -> None:
        """Hold the duties through `lease`; the arguments of `serve` determine the record."""
        self.lease = lease
        self.record: DutyRecord | None = None
        self._store = store
        self._sight = sight
        self._health = health
        self._log = log
        self._clock = clock
        self._lease_seconds = lease_seconds
        self._seen: StoredObject | None = None
        self._retired = False
        """Whether this process is stopping and no longer acquires the duties."""

    async def serve(
        self,
        first_record: Callable[[], DutyRecord],
        on_taken: Callable[[DutyRecord], None],
        next_record: Callable[[DutyRecord], DutyRecord],
        is_urgent: Callable[[], bool],
    ) -> None:
        """Renew the lease while it is held, otherwise acquire it when possible, until cancelled.

        `first_record` creates the record if there is none. `on_taken` receives the record of the
        former holder. `next_record` adds what is to be recorded, which is written at once if
        `is_urgent` returns true.
        """
        while True:
            due = self._clock()
            written = True
            if self.lease.held:
                written = await self._renew(next_record)
                due += self._lease_seconds / _RENEWALS_A_LEASE
            elif not self._retired and self._sight.reads_store():
                await self._look(first_record, on_taken)
                due += self._lease_seconds / _LOOKS_A_LEASE * (1 + min(2, self._sight.rank()))
            await anyio.sleep(TICK_SECONDS)
            # Urgent data is recorded at once, unless the last write to the store failed.
            while self._clock() < due and not (written and self.lease.held and is_urgent()):
                await anyio.sleep(TICK_SECONDS)

    def collects(self) -> bool:
        """Return whether this gateway holds the duties or is among the first candidates."""
        return self.lease.held or (self._sight.reads_store() and self._is_first())

    def lose(self, why: str) -> None:
        """Stop acting with the present token, for the reason `why`."""
        holder = self.record.holder if self.record else ""
        self._log.note("duty.lost", why=why, token=self.lease.token, holder=holder)
        self.lease.lose(self._clock())

    async def retire(self) -> None:
        """Hand over because this process stops, and never acquire the duties again."""
        self._retired = True
        await self.hand_over("stopping")

    async def hand_over(self, why: str) -> None:
        """Let another gateway take over at once if this one holds the duties."""
        record = self.record
        if not self.lease.held or record is None or self._seen is None:
            return
        self.lease.lose(self._clock())
        self._log.note("duty.handed_over", why=why)
        await self._try_write(replace(record, holder="", beat=record.beat + 1))

    def _is_first(self) -> bool:
        return self._sight.rank() < _COLLECTORS

    async def _look(
        self, first_record: Callable[[], DutyRecord], on_taken: Callable[[DutyRecord], None]
    ) -> None:
        """Read which gateway holds the duties, and acquire them if none does."""
        try:
            # A stale read costs a tenth of a current one; a write at an old revision is rejected.
            found = await self._store.get(KIND, NAME, stale=True)
        except StoreError as error:
            self._log.note("duty.not_read", error=repr(error))
            return
        now = self._clock()
        self._take_in(found)
        self.lease.observe(found.revision if found else None, now)
        if found is not None and self.record is None:
            # A later version may have written it: replacing it would count windows twice.
            self._log.note("duty.unreadable", revision=found.revision)
        elif found is None or self.lease.may_take(self.record, now, self._is_first()):
            await self._take(self.record or first_record(), on_taken)

    async def _take(self, former: DutyRecord, on_taken: Callable[[DutyRecord], None]) -> None:
        record = replace(former, holder=self.lease.name, life=self.lease.life, beat=former.beat + 1)
        sent_at = self._clock()
        if not await self._try_write(record) or self._seen is None:
            return
        self.lease.take(self._seen.revision, sent_at)
        self._health.forget()
        self._log.note(
            "duty.taken", token=self.lease.token, former=former.holder, settled=former.settled
        )
        on_taken(former)

    async def _renew(self, next_record: Callable[[DutyRecord], DutyRecord]) -> bool:
        """Renew the lease; return whether the write is known to be in force."""
        record = self.record
        if record is None:
            self.lose("no record")
            return False
        if self._health.silent(self._clock()):
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
            if self._seen is None:
                written = await self._store.create(KIND, NAME, spec)
            else:
                written = await self._store.replace(KIND, NAME, spec, self._seen.revision)
        except RevisionConflictError:
            return await self._read_again()
        except StoreError as error:
            self._log.note("duty.not_recorded", error=repr(error))
            return False
        self._take_in(written)
        self.lease.observe(written.revision, self._clock())
        return True

    async def _read_again(self) -> bool:
        """Read the record; return whether an unanswered write of this process succeeded."""
        try:
            found = await self._store.get(KIND, NAME)
        except StoreError as error:
            self._log.note("duty.not_read", error=repr(error))
            return False
        self._take_in(found)
        self.lease.observe(found.revision if found else None, self._clock())
        if self.record is not None and self.record.is_of(self.lease.name, self.lease.life):
            return True
        if self.lease.held:
            self.lose("taken by another")
        return False

    def _take_in(self, found: StoredObject | None) -> None:
        self._seen = found
        self.record = from_spec(found.spec) if found else None
