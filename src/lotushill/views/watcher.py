"""Follows one kind of the store's objects: a list, then watches, and a list after a gap."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Protocol

import anyio

from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList

_WATCH_SECONDS = 4.0
_LATE_SECONDS = 0.5
"""A watch answered so long after its time was held up by an outage."""
_FIRST_PAUSE_SECONDS = 0.05
_LONGEST_PAUSE_SECONDS = 0.8


class Store(Protocol):
    """The calls that a watcher makes."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        """Return changes after a revision."""
        ...


class Watcher:
    """Calls back with lists and changes, for ever; an outage changes nothing."""

    def __init__(
        self,
        store: Store,
        kind: str,
        on_list: Callable[[ObjectList], None],
        on_changes: Callable[[list[Change], int], None],
        rng: random.Random,
        log: EventLog,
        interval: float,
        wait: float = _WATCH_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Follow `kind` by watches of `wait` seconds, at least `interval` seconds apart."""
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_changes = on_changes
        self._rng = rng
        self._log = log
        self._interval = interval
        self._wait = wait
        self._clock = clock
        self._regained_at: float | None = None
        self._revision = -1
        self._pause = _FIRST_PAUSE_SECONDS
        self.failing = False
        """Whether the last call brought no answer."""

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._log.note("watch.gap", kind=self._kind, revision=self._revision)
                self._revision = -1
                await anyio.sleep(self._jitter(_FIRST_PAUSE_SECONDS))
            except StoreError as error:
                await self._back_off(error)

    async def _step(self) -> None:
        if self._revision < 0:
            listed = await self._store.list_kind(self._kind)
            self._note_answer()
            self._revision = listed.revision
            self._on_list(listed)
        else:
            asked = self._clock()
            changes, revision = await self._store.watch(self._kind, self._revision, self._wait)
            self._note_answer()
            if self._clock() - asked > self._wait + _LATE_SECONDS:
                # The store was away in between, and its answer is the first one since.
                self._regained_at = self._clock()
            if changes:
                self._on_changes(changes, revision)
                self._revision = max(self._revision, revision)
            # Without changes it goes on from where it was: a store in trouble may hold events
            # back while its revision moves on, and would never tell of them again.
        await anyio.sleep(self._jitter(self._interval))

    def regained_at(self, now: float) -> float | None:
        """Return when the store began to answer again, None if it never stopped.

        While it does not answer that is now: an outage is not over.
        """
        return now if self.failing else self._regained_at

    def _note_answer(self) -> None:
        self._pause = _FIRST_PAUSE_SECONDS
        if self.failing:
            self.failing = False
            self._regained_at = self._clock()
            self._log.note("dependency.regained", name="store", kind=self._kind)

    async def _back_off(self, error: StoreError) -> None:
        if not self.failing:
            self.failing = True
            self._log.note("dependency.lost", name="store", kind=self._kind, error=repr(error))
        await anyio.sleep(self._jitter(self._pause))
        self._pause = min(_LONGEST_PAUSE_SECONDS, self._pause * 2)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.7, 1.3)
