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

_SAME_LIFE_SECONDS = 0.5
"""Seconds within which reported start times belong to the same process.

Two starts of one gateway are further apart; reports of the same start differ slightly.
"""


@dataclass
class _Life:
    """The counts of one process of one gateway."""

    started: float
    """True time of the start of the process."""
    heard: float
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
        self._lives: dict[str, list[_Life]] = {}

    def go_on_from(self, checkpoint: Checkpoint) -> None:
        """Set the checkpoint of a former holder, in addition to the counts received here."""
        self._checkpoint = checkpoint

    def take(self, page: WorkPage, now: float) -> None:
        """Merge a page that arrived at the true time `now`."""
        life = self._life(page.sender, now - page.age)
        life.heard = now
        for told in page.counts:
            teams = life.windows.setdefault(told.window, Counter())
            teams[told.team] = max(teams[told.team], told.count)

    def heard_after(self, sender: str, moment: float) -> bool:
        """Return whether a gateway reported its counts after a given true time."""
        lives = self._lives.get(sender, [])
        return bool(lives) and lives[-1].heard > moment

    def total(self, window: int) -> Counts:
        """Return the known number of requests of each team that started in a window."""
        known = Counter(self._checkpoint.windows.get(window, {}))
        old: Counter[str] = Counter()
        new: Counter[str] = Counter()
        for lives in self._lives.values():
            for life in lives:
                is_new = life.started >= self._checkpoint.at
                (new if is_new else old).update(life.windows.get(window, {}))
        return dict((known | old) + new)

    def open_windows(self, after: int) -> set[int]:
        """Return the windows after a given one that have counts."""
        known = set(self._checkpoint.windows)
        for lives in self._lives.values():
            for life in lives:
                known.update(life.windows)
        return {window for window in known if window > after}

    def checkpoint(self, after: int, now: float) -> Checkpoint:
        """Return a checkpoint of the windows after a given one, at the true time `now`."""
        windows = {window: self.total(window) for window in sorted(self.open_windows(after))}
        return Checkpoint(now, windows)

    def forget(self, settled: int) -> None:
        """Discard the windows up to and including `settled`."""
        for name, lives in list(self._lives.items()):
            for life in lives:
                _drop(life.windows, settled)
            self._lives[name] = [life for life in lives[:-1] if life.windows] + lives[-1:]

    def _life(self, sender: str, started: float) -> _Life:
        lives = self._lives.setdefault(sender, [])
        if not lives or started - lives[-1].started > _SAME_LIFE_SECONDS:
            lives.append(_Life(started, started))
        return lives[-1]


def _drop(windows: dict[int, Counter[str]], settled: int) -> None:
    found: Iterable[int] = [window for window in windows if window <= settled]
    for window in found:
        del windows[window]
