"""Reports of usage: counts of all gateways, fixed once for each window, recorded, then sent."""

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

_PULL_SECONDS = 0.3
"""Between two looks at the counts of all gateways: what one counts in it is lost with its host."""
_PULLS_A_SECOND = 100.0
"""Of all gateways; in a larger fleet the looks are further apart."""
_AFTER_CLOSE_SECONDS = 0.4
"""After a window has closed all gateways are asked at once: what is recorded and reported early is
not lost with the holder."""
_LONGEST_SETTLE_SECONDS = 5.0
"""A gateway that is silent is waited for no longer: half of the time in which a report is due."""
_FIRST_WINDOWS = 3
"""Windows back that a gateway asks for which has not read a record yet."""
_RETRY_SECONDS = 0.5
_MOST_SILENT_SHOWN = 5


class UsageDuty:
    """Collects, fixes and reports while the duties are held; a candidate collects as well."""

    def __init__(
        self,
        settings: DutySettings,
        ownership: Ownership,
        platform: Platform,
        sight: FleetAccess,
        time: TrueTime,
        health: CallHealth,
        log: EventLog,
        clock: Callable[[], float],
    ) -> None:
        self._settings = settings
        self._ownership = ownership
        self._platform = platform
        self._sight = sight
        self._time = time
        self._health = health
        self._log = log
        self._clock = clock
        self._ledger = UsageLedger()
        self._recorded: WindowCounts = {}
        """Windows that are to be recorded with the next write, and those that were."""
        self._reported: set[int] = set()
        """Windows whose reports the platform has taken."""

    def receive(self, page: WorkPage) -> None:
        """Take in what a gateway counted."""
        self._time.add_sample(page.sender, page.wall)
        self._ledger.take(page, self._time.now())

    def newest_window(self) -> int:
        """Return the number of the window that is open now."""
        return int(self._time.now() // self._settings.report_window_seconds)

    def open_windows(self) -> set[int]:
        """Return the windows of which counts are remembered."""
        return self._ledger.open_windows(-1)

    def begin(self, former: DutyRecord) -> None:
        """Go on from the record of the former holder."""
        self._recorded = {}
        self._reported = set()
        self._ledger.go_on_from(former.checkpoint)

    def add_to(self, record: DutyRecord) -> DutyRecord:
        """Return the record with what was fixed and reported since."""
        pending = {
            window: counts
            for window, counts in {**record.reports, **self._recorded}.items()
            if window not in self._reported
        }
        settled = max(record.settled, *self._recorded) if self._recorded else record.settled
        checkpoint = self._ledger.checkpoint(settled, self._time.now())
        return replace(record, settled=settled, reports=pending, checkpoint=checkpoint)

    def has_unrecorded(self) -> bool:
        """Return whether windows were fixed that no record holds yet."""
        record = self._ownership.record
        settled = record.settled if record else -1
        return any(window > settled for window in self._recorded)

    # Counts

    async def collect(self) -> None:
        """Ask all gateways for their counts, for ever."""
        own = self._ownership.lease.name
        while True:
            if not self._ownership.collects():
                await anyio.sleep(_PULL_SECONDS)
                continue
            members = list(self._sight.members())
            since = self._first_of_interest()
            for page in self._sight.own_pages(since):
                self.receive(page)
            for member in members:
                if member.name != own:
                    self._sight.send_pull(WorkPull(own, since, self._time.now()), member.address)
            self._settle(members)
            await anyio.sleep(self._until_next_pull(len(members)))

    def _first_of_interest(self) -> int:
        record = self._ownership.record
        return record.settled + 1 if record else self.newest_window() - _FIRST_WINDOWS

    def _until_next_pull(self, members: int) -> float:
        """Return the seconds until all are asked again: soon after a window has closed."""
        usual = max(_PULL_SECONDS, members / _PULLS_A_SECOND)
        seconds = self._settings.report_window_seconds
        into_window = self._time.now() % seconds
        after_close = (_AFTER_CLOSE_SECONDS - into_window) % seconds
        return min(usual, max(TICK_SECONDS, after_close))

    def _settle(self, members: list[MemberState]) -> None:
        """Fix the counts of windows that have closed and that all gateways told of since."""
        record = self._ownership.record
        if record is None:
            return
        # Also where another gateway holds the duties: a candidate would keep every window for ever.
        self._ledger.forget(record.settled)
        if not self._ownership.lease.held or not self._settings.reports_usage:
            return
        first = max((record.settled, *self._recorded)) + 1
        for window in range(first, self.newest_window()):
            closed = (window + 1) * self._settings.report_window_seconds
            silent = [item.name for item in members if not self._has_told(item.name, closed)]
            if silent and self._time.now() - closed < _LONGEST_SETTLE_SECONDS:
                return
            self._fix(window, silent)

    def _has_told(self, member: str, closed: float) -> bool:
        return self._ledger.heard_after(member, closed + TICK_SECONDS)

    def _fix(self, window: int, silent: list[str]) -> None:
        counts = self._ledger.total(window)
        self._recorded[window] = counts
        self._log.note(
            "usage.settled",
            window=window,
            requests=sum(counts.values()),
            teams=len(counts),
            silent=silent[:_MOST_SILENT_SHOWN],
        )

    # Reports

    async def report(self) -> None:
        """Send what is recorded and not yet reported, for ever."""
        while True:
            await anyio.sleep(TICK_SECONDS)
            record = self._ownership.record
            if record is None or not self._ownership.lease.may_act(self._clock()):
                continue
            for window in sorted(record.reports.keys() - self._reported):
                if not await self._report_one(window, record.reports[window]):
                    break

    async def _report_one(self, window: int, counts: Counts) -> bool:
        lease = self._ownership.lease
        token = lease.token
        if token is None or not lease.may_act(self._clock()):
            return False
        began = self._clock()
        end = await self._platform.report_usage(window, counts, LeaseCredentials(lease.name, token))
        self._health.note(end, began)
        self._log.note("usage.reported", window=window, end=end.value, token=token)
        if end is CallOutcome.DONE:
            self._reported.add(window)
            return True
        if end is CallOutcome.REFUSED and lease.token == token:
            self._ownership.lose("a report was refused")
        await anyio.sleep(_RETRY_SECONDS)
        return False
