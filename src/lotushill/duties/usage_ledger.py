"""What all gateways counted, put together by the holder of the duties. Pure."""

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
"""Two starts of one gateway lie further apart; the same one is told a little differently."""


@dataclass
class _Life:
    """One process of one gateway."""

    started: float
    """True time."""
    heard: float
    """True time of its last page."""
    windows: dict[int, Counter[str]] = field(default_factory=dict)


class UsageLedger:
    """Counts by window and team, those of gateways that are gone included.

    What a former holder knew comes with its checkpoint. Gateways that started later are not in it
    and are added; for the others the larger of both is true, since each is a part of the whole.
    """

    def __init__(self) -> None:
        self._checkpoint = Checkpoint()
        self._lives: dict[str, list[_Life]] = {}

    def go_on_from(self, checkpoint: Checkpoint) -> None:
        """Take in what a former holder recorded, beside what was heard here."""
        self._checkpoint = checkpoint

    def take(self, page: WorkPage, now: float) -> None:
        """Take in a page that came at some true time."""
        life = self._life(page.sender, now - page.age)
        life.heard = now
        for told in page.counts:
            teams = life.windows.setdefault(told.window, Counter())
            teams[told.team] = max(teams[told.team], told.count)

    def heard_after(self, sender: str, moment: float) -> bool:
        """Return whether a gateway told its counts after some true time."""
        lives = self._lives.get(sender, [])
        return bool(lives) and lives[-1].heard > moment

    def total(self, window: int) -> Counts:
        """Return the requests of each team that began in a window, as far as is known."""
        known = Counter(self._checkpoint.windows.get(window, {}))
        old: Counter[str] = Counter()
        new: Counter[str] = Counter()
        for lives in self._lives.values():
            for life in lives:
                is_new = life.started >= self._checkpoint.at
                (new if is_new else old).update(life.windows.get(window, {}))
        return dict((known | old) + new)

    def open_windows(self, after: int) -> set[int]:
        """Return the windows after one of which anything is known."""
        known = set(self._checkpoint.windows)
        for lives in self._lives.values():
            for life in lives:
                known.update(life.windows)
        return {window for window in known if window > after}

    def checkpoint(self, after: int, now: float) -> Checkpoint:
        """Return what is known of the windows after one, at some true time."""
        windows = {window: self.total(window) for window in sorted(self.open_windows(after))}
        return Checkpoint(now, windows)

    def forget(self, settled: int) -> None:
        """Drop the windows up to one."""
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
