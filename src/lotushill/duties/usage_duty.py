"""Usage reports: counts of all gateways, settled once for each window, recorded, then sent."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import anyio

from lotushill.duties.ownership import TICK_SECONDS
from lotushill.duties.usage_ledger import UsageLedger
from lotushill.links.messages import WorkPull
from lotushill.platform.duty_api import CallOutcome
from lotushill.platform.duty_api import LeaseCredentials

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.duties.call_health import CallHealth
    from lotushill.duties.duty_record import Counts
    from lotushill.duties.duty_record import DutyRecord
    from lotushill.duties.duty_record import WindowCounts
    from lotushill.duties.ownership import Ownership
    from lotushill.duties.ports import FleetAccess
    from lotushill.duties.ports import Platform
    from lotushill.duties.true_time import TrueTime
    from lotushill.event_log import EventLog
    from lotushill.links.messages import MemberState
    from lotushill.links.messages import WorkPage
    from lotushill.process.settings import DutySettings

_PULL_INTERVAL_SECONDS = 0.3
"""Interval in seconds at which the counts of all gateways are collected.

What a gateway counts within it is lost together with its host.
"""
_MAX_PULLS_PER_SECOND = 100.0
"""Limit of the requests for counts per second; a larger fleet is collected less often."""
_CLOSE_DELAY_SECONDS = 0.4
"""Seconds after the close of a window at which the counts of all gateways are collected.

Counts that are recorded and reported early are not lost together with the holder.
"""
_MAX_SETTLE_SECONDS = 5.0
"""Seconds after the close of a window until it is settled without unresponsive gateways.

This is half of the time within which a report is due.
"""
_INITIAL_WINDOWS = 3
"""Number of past windows that a gateway collects before it has read a record."""
_RETRY_INTERVAL_SECONDS = 0.5
_MAX_SILENT_LOGGED = 5


class UsageDuty:
    """Collects, settles and reports usage while the duties are held; candidates also collect."""

    def __init__(
        self,
        settings: DutySettings,
        ownership: Ownership,
        platform: Platform,
        fleet: FleetAccess,
        time: TrueTime,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._ownership = ownership
        self._platform = platform
        self._fleet = fleet
        self._time = time
        self._health = health
        self._log = log
        self._clock = clock
        self._ledger = UsageLedger()
        self._recorded: WindowCounts = {}
        """Counts of settled windows, both recorded and to be recorded with the next write."""
        self._reported: set[int] = set()
        """Windows whose reports the platform has accepted."""

    def receive(self, page: WorkPage) -> None:
        """Merge the counts that a gateway reports."""
        self._time.add_sample(page.sender, page.wall)
        self._ledger.merge_page(page, self._time.now())

    def newest_window(self) -> int:
        """Return the number of the window that is open now."""
        return int(self._time.now() // self._settings.report_window_seconds)

    def open_windows(self) -> set[int]:
        """Return the windows for which counts are stored."""
        return self._ledger.open_windows(-1)

    def begin(self, former: DutyRecord) -> None:
        """Continue from the record of the former holder."""
        self._recorded = {}
        self._reported = set()
        self._ledger.restore(former.checkpoint)

    def add_to(self, record: DutyRecord) -> DutyRecord:
        """Return the record with the windows that were settled and reported since."""
        pending = {
            window: counts
            for window, counts in {**record.reports, **self._recorded}.items()
            if window not in self._reported
        }
        settled = max(record.settled, *self._recorded) if self._recorded else record.settled
        checkpoint = self._ledger.checkpoint(settled, self._time.now())
        return replace(record, settled=settled, reports=pending, checkpoint=checkpoint)

    def has_unrecorded(self) -> bool:
        """Return whether there are settled windows that no record contains yet."""
        record = self._ownership.record
        settled = record.settled if record else -1
        return any(window > settled for window in self._recorded)

    async def collect(self) -> None:
        """Request the counts of all gateways, until cancelled."""
        own = self._ownership.lease.name
        while True:
            if not self._ownership.is_collector():
                await anyio.sleep(_PULL_INTERVAL_SECONDS)
                continue
            members = list(self._fleet.members())
            since = self._first_pulled_window()
            for page in self._fleet.own_pages(since):
                self.receive(page)
            for member in members:
                if member.name != own:
                    self._fleet.send_pull(WorkPull(own, since, self._time.now()), member.address)
            self._settle_closed(members)
            await anyio.sleep(self._until_next_pull(len(members)))

    def _first_pulled_window(self) -> int:
        record = self._ownership.record
        return record.settled + 1 if record else self.newest_window() - _INITIAL_WINDOWS

    def _until_next_pull(self, members: int) -> float:
        """Return the seconds until the next collection, which follows the close of a window."""
        interval = max(_PULL_INTERVAL_SECONDS, members / _MAX_PULLS_PER_SECOND)
        seconds = self._settings.report_window_seconds
        into_window = self._time.now() % seconds
        after_close = (_CLOSE_DELAY_SECONDS - into_window) % seconds
        return min(interval, max(TICK_SECONDS, after_close))

    def _settle_closed(self, members: list[MemberState]) -> None:
        """Settle the closed windows for which all gateways have reported since the close."""
        record = self._ownership.record
        if record is None:
            return
        # A candidate also discards settled windows; otherwise it would store every window forever.
        self._ledger.discard_settled(record.settled)
        if not self._ownership.lease.is_held or not self._settings.reports_usage:
            return
        first = max((record.settled, *self._recorded)) + 1
        for window in range(first, self.newest_window()):
            closed = (window + 1) * self._settings.report_window_seconds
            silent = [item.name for item in members if not self._has_reported(item.name, closed)]
            if silent and self._time.now() - closed < _MAX_SETTLE_SECONDS:
                return
            self._settle_window(window, silent)

    def _has_reported(self, member: str, closed: float) -> bool:
        return self._ledger.has_reported_after(member, closed + TICK_SECONDS)

    def _settle_window(self, window: int, silent: list[str]) -> None:
        counts = self._ledger.total(window)
        self._recorded[window] = counts
        self._log.note(
            "usage.settled",
            window=window,
            requests=sum(counts.values()),
            teams=len(counts),
            silent=silent[:_MAX_SILENT_LOGGED],
        )

    async def report(self) -> None:
        """Send the recorded windows that are not reported yet, until cancelled."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            record = self._ownership.record
            if record is None or not self._ownership.lease.may_act(self._clock()):
                continue
            for window in sorted(record.reports.keys() - self._reported):
                if not await self._report_window(window, record.reports[window]):
                    break

    async def _report_window(self, window: int, counts: Counts) -> bool:
        lease = self._ownership.lease
        token = lease.token
        if token is None or not lease.may_act(self._clock()):
            return False
        started_at = self._clock()
        result = await self._platform.report_usage(
            window, counts, LeaseCredentials(lease.name, token)
        )
        self._health.record(result, started_at)
        self._log.note("usage.reported", window=window, end=result.value, token=token)
        if result is CallOutcome.DONE:
            self._reported.add(window)
            return True
        if result is CallOutcome.REFUSED and lease.token == token:
            self._ownership.lose("a report was refused")
        await anyio.sleep(_RETRY_INTERVAL_SECONDS)
        return False
