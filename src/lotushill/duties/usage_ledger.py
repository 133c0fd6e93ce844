"""The counts of all gateways, merged by the holder of the duties; the time is an argument."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.duties.duty_record import Checkpoint

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.duties.duty_record import Counts
    from lotushill.links.messages import WorkPage

_SAME_START_SECONDS = 0.5
"""Seconds within which reported start times belong to the same process.

Two starts of one gateway are further apart; reports of the same start differ slightly.
"""


@dataclass
class _Process:
    """The counts of one process of one gateway."""

    started: float
    """True time of the start of the process."""
    last_page_at: float
    """True time of the last page of the process."""
    windows: dict[int, Counter[str]] = field(default_factory=dict)


class UsageLedger:
    """Counts by window and team, including those of gateways that are gone.

    The counts of a former holder are in its checkpoint. Processes that started later are not
    included in it and are added. For the others the larger of both counts is correct, since each is
    a part of the total.
    """

    def __init__(self) -> None:
        self._checkpoint = Checkpoint()
        self._processes: dict[str, list[_Process]] = {}

    def restore(self, checkpoint: Checkpoint) -> None:
        """Set the checkpoint of a former holder, in addition to the counts received here."""
        self._checkpoint = checkpoint

    def merge_page(self, page: WorkPage, now: float) -> None:
        """Merge a page that arrived at the true time `now`."""
        process = self._process(page.sender, now - page.age)
        process.last_page_at = now
        for entry in page.counts:
            teams = process.windows.setdefault(entry.window, Counter())
            teams[entry.team] = max(teams[entry.team], entry.count)

    def has_reported_after(self, sender: str, moment: float) -> bool:
        """Return whether a gateway reported its counts after a given true time."""
        processes = self._processes.get(sender, [])
        return bool(processes) and processes[-1].last_page_at > moment

    def total(self, window: int) -> Counts:
        """Return the known number of requests of each team that started in a window."""
        known = Counter(self._checkpoint.windows.get(window, {}))
        old: Counter[str] = Counter()
        new: Counter[str] = Counter()
        for processes in self._processes.values():
            for process in processes:
                is_new = process.started >= self._checkpoint.at
                (new if is_new else old).update(process.windows.get(window, {}))
        return dict((known | old) + new)

    def open_windows(self, after: int) -> set[int]:
        """Return the windows after a given one that have counts."""
        known = set(self._checkpoint.windows)
        for processes in self._processes.values():
            for process in processes:
                known.update(process.windows)
        return {window for window in known if window > after}

    def checkpoint(self, after: int, now: float) -> Checkpoint:
        """Return a checkpoint of the windows after a given one, at the true time `now`."""
        windows = {window: self.total(window) for window in sorted(self.open_windows(after))}
        return Checkpoint(now, windows)

    def discard_settled(self, settled: int) -> None:
        """Discard the windows up to and including `settled`."""
        for name, processes in list(self._processes.items()):
            for process in processes:
                _discard(process.windows, settled)
            self._processes[name] = [
                process for process in processes[:-1] if process.windows
            ] + processes[-1:]

    def _process(self, sender: str, started: float) -> _Process:
        processes = self._processes.setdefault(sender, [])
        if not processes or started - processes[-1].started > _SAME_START_SECONDS:
            processes.append(_Process(started, started))
        return processes[-1]


def _discard(windows: dict[int, Counter[str]], settled: int) -> None:
    settled_windows: Iterable[int] = [window for window in windows if window <= settled]
    for window in settled_windows:
        del windows[window]
