"""Follows one kind of the store's objects: a list, then watches, and a list after a gap."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

import anyio

from lotushill import clock as clocks
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList

_WATCH_SECONDS = 3.0
_SHORTEST_WATCH_SHARE = 0.3
"""A store that forgets its history may tell those that wait nothing of a change. A watch is then
out of date until it ends, so that watches are short, and end at different times in the fleet: the
first to end tells the others."""
_FIRST_PAUSE_SECONDS = 0.05
_LONGEST_PAUSE_SECONDS = 0.8
_STAND_IN_PAUSE_SECONDS = 4.0
"""The longest pause of one that reads only since others are turned away."""
_START_SECONDS = 0.01
"""Between two looks at whether what has to be known before is known."""
_PASSIVE_SECONDS = 0.15
"""Between two looks at whether it is this gateway's turn to read."""


class Store(Protocol):
    """The calls that a watcher makes."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        """Return changes after a revision."""
        ...


class ReadPolicy(Protocol):
    """Who reads the store; the others hear of changes from those who do."""

    def is_reader(self) -> bool:
        """Return whether this gateway reads the store now."""
        ...

    def is_substitute_reader(self) -> bool:
        """Return whether it does so only since others are turned away."""
        ...


class AlwaysReader:
    """Reads whatever others do."""

    def is_reader(self) -> bool:
        """Return True."""
        return True

    def is_substitute_reader(self) -> bool:
        """Return False."""
        return False


@dataclass(frozen=True)
class WatchedKind:
    """What is followed, and what becomes of it; times are seconds."""

    name: str
    on_list: Callable[[ObjectList], None]
    on_changes: Callable[[list[Change], int], None]
    held_revision: Callable[[], int]
    """Revision of the view, which may have come from others; below 0 for none."""
    interval: float
    """At least, from one watch to the next."""
    max_watch_seconds: float = _WATCH_SECONDS
    """How long one watch waits for a change, at most."""
    may_start: Callable[[], bool] = lambda: True
    """Whether what has to be known before this kind is known."""


class Watcher:
    """Calls back with lists and changes, for ever; an outage changes nothing."""

    def __init__(
        self,
        store: Store,
        kind: WatchedKind,
        rng: random.Random,
        log: EventLog,
        reading: ReadPolicy | None = None,
        clock: Callable[[], float] = clocks.now,
    ) -> None:
        """Follow `kind` while `reading` says that this gateway reads."""
        self._store = store
        self._kind = kind
        self._rng = rng
        self._log = log
        self._reading = reading or AlwaysReader()
        self._clock = clock
        self._revision = -1
        self._history_gone = False
        self._pause = _FIRST_PAUSE_SECONDS
        self._asked_at = 0.0
        self._away_at: float | None = None
        self._step_scope: anyio.CancelScope | None = None
        self.last_list_sent_at = float("-inf")
        """When the last list was asked for that has come."""
        self.active = False
        """Whether this gateway reads the kind itself."""
        self.failing = False
        """Whether the last call brought no answer."""
        self.answering_since: float | None = None
        """Since when each call was answered, None while the last one was not."""

    @property
    def last_failure_at(self) -> float | None:
        """Return when the last call began that the store did not answer, None without any.

        Not when the failure was noticed, nor when the store answered again: both may be seconds
        after its return, and only what lies behind the failed call is known to be outage.
        """
        return self._away_at

    def relist(self) -> None:
        """List again at once: what was told may be old, and the watch under way may have died."""
        self._history_gone = True
        if self._step_scope is not None:
            self._step_scope.cancel()

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            self.active = self._reading.is_reader()
            if not self.active:
                self._rest()
                await anyio.sleep(self._jitter(_PASSIVE_SECONDS))
                continue
            if self._revision < 0 and not self._kind.may_start():
                await anyio.sleep(_START_SECONDS)
                continue
            try:
                with anyio.CancelScope() as self._step_scope:
                    await self._step()
            except HistoryGoneError:
                self._log.note("watch.gap", kind=self._kind.name, revision=self._revision)
                self._history_gone = True
                await anyio.sleep(self._jitter(_FIRST_PAUSE_SECONDS))
            except StoreError as error:
                await self._back_off(error)
            except Exception as error:
                # A fault of ours in reading must not end the following for good.
                self._log.note("watch.fault", kind=self._kind.name, error=repr(error))
                self._history_gone = True
                await anyio.sleep(self._jitter(_LONGEST_PAUSE_SECONDS))

    def _rest(self) -> None:
        """Go on later from what the others brought meanwhile."""
        self.failing = False
        self._revision = -1
        self._pause = _FIRST_PAUSE_SECONDS

    async def _step(self) -> None:
        kind = self._kind
        # What others brought need not be asked for again: its history may be gone by now.
        self._revision = max(self._revision, kind.held_revision())
        if self._revision < 0 or self._history_gone:
            await self._list()
        else:
            await self._watch()
        await anyio.sleep(self._jitter(kind.interval))

    async def _list(self) -> None:
        self._asked_at = self._clock()
        listed = await self._store.list_kind(self._kind.name)
        self._note_answer()
        self._history_gone = False
        self._revision = listed.revision
        self.last_list_sent_at = self._asked_at
        self._kind.on_list(listed)

    async def _watch(self) -> None:
        kind = self._kind
        self._asked_at = self._clock()
        wait = kind.max_watch_seconds * self._rng.uniform(_SHORTEST_WATCH_SHARE, 1.0)
        changes, revision = await self._store.watch(kind.name, self._revision, wait)
        self._note_answer()
        if changes:
            kind.on_changes(changes, revision)
            self._revision = max(self._revision, revision)
        # Without changes it goes on from where it was: a store in trouble may hold events
        # back while its revision moves on, and would never tell of them again.

    def _note_answer(self) -> None:
        self._pause = _FIRST_PAUSE_SECONDS
        if self.answering_since is None:
            self.answering_since = self._clock()
        if self.failing:
            self.failing = False
            self._log.note("dependency.regained", name="store", kind=self._kind.name)

    async def _back_off(self, error: StoreError) -> None:
        self._away_at = self._asked_at
        self.answering_since = None
        if not self.failing:
            self.failing = True
            self._log.note("dependency.lost", name="store", kind=self._kind.name, error=repr(error))
        longest = (
            _STAND_IN_PAUSE_SECONDS
            if self._reading.is_substitute_reader()
            else _LONGEST_PAUSE_SECONDS
        )
        await anyio.sleep(self._jitter(min(longest, self._pause)))
        self._pause = min(longest, self._pause * 2)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.7, 1.3)
