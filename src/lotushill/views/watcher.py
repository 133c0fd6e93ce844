"""Follows one kind of the store's objects: lists it, then watches it; lists again after a gap."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeVar

import anyio

from lotushill import clock as clocks
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import SilentStoreError
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.event_log import EventLog
    from lotushill.views.stored_object import Change
    from lotushill.views.stored_object import ObjectList

Answer = TypeVar("Answer")

_MAX_WATCH_SECONDS = 2.3
"""Longest watch. A dead connection shows only by a watch that does not end in time. Detection, a
new call and the relay to other gateways together have to take less than three seconds."""
_MAX_SHORTENING = 0.6
"""Greatest part by which a watch is shorter than the longest.

A store that drops its history may not report a change to the watches that are open, which are then
out of date until they end. Watches are therefore short, and end at different times in the fleet:
the first gateway whose watch ends notifies the others."""
_SHORTENING_EXPONENT = 3
"""Exponent by which most watches are nearly as long as the longest, which saves calls."""
_PROBE_WATCH_SECONDS = 0.05
"""Length of the watch after one that was not answered: it soon shows whether the store answers."""
_FIRST_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 0.8
_SILENT_STORE_PAUSE_SECONDS = 0.8
"""Shortest pause after a call that a silent store left unanswered on a new connection."""
_MAX_SUBSTITUTE_PAUSE_SECONDS = 4.0
"""Longest pause of a substitute reader, which reads only while others cannot reach the store."""
_START_CHECK_INTERVAL_SECONDS = 0.01
"""Interval between checks whether the data required before the first read is loaded."""
_READER_CHECK_INTERVAL_SECONDS = 0.15
"""Interval between checks whether this gateway has become a reader."""


class Store(Protocol):
    """Calls that a watcher makes to the store."""

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        """Return all objects of a kind."""
        ...

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        """Wait for changes after a revision; return them with the revision that they lead to."""
        ...


class ReadPolicy(Protocol):
    """Decides which gateways read the store; the others receive changes from these readers."""

    def is_reader(self) -> bool:
        """Return whether this gateway currently reads the store."""
        ...

    def is_substitute_reader(self) -> bool:
        """Return whether it reads only because other readers cannot reach the store."""
        ...


class AlwaysReader:
    """Reads the store independently of other gateways."""

    def is_reader(self) -> bool:
        """Return True."""
        return True

    def is_substitute_reader(self) -> bool:
        """Return False."""
        return False


@dataclass(frozen=True)
class WatchedKind:
    """The kind to follow, the callbacks for its data and the timing; times are seconds."""

    name: str
    on_list: Callable[[ObjectList], None]
    on_changes: Callable[[list[Change], int], None]
    held_revision: Callable[[], int]
    """Returns the view's revision, which may come from other gateways; below 0 for none."""
    interval: float
    """Minimum time from one watch to the next."""
    max_watch_seconds: float = _MAX_WATCH_SECONDS
    """Maximum time for which one watch waits for a change."""
    may_start: Callable[[], bool] = lambda: True
    """Returns whether the data required before the first read of this kind is loaded."""


class Watcher:
    """Delivers lists and changes of a kind without end; during an outage the view is unchanged."""

    def __init__(
        self,
        store: Store,
        kind: WatchedKind,
        rng: random.Random,
        log: EventLog,
        read_policy: ReadPolicy | None = None,
        clock: Callable[[], float] = clocks.now,
        on_reconnection: Callable[[float], None] = lambda _: None,
    ) -> None:
        """Follow `kind` while `read_policy` selects this gateway as a reader.

        `on_reconnection` is called when the store answers after a call on an open connection had no
        answer in time, with the time at which that was noticed.
        """
        self._store = store
        self._kind = kind
        self._rng = rng
        self._log = log
        self._read_policy = read_policy or AlwaysReader()
        self._clock = clock
        self._on_reconnection = on_reconnection
        self._silent_since: float | None = None
        """Time at which a call without an answer was noticed, None if one was answered since."""
        self._is_calling = False
        self._revision = -1
        self._history_gone = False
        self._pause = _FIRST_PAUSE_SECONDS
        self._call_sent_at = 0.0
        self._last_failure_at: float | None = None
        self._step_scope: anyio.CancelScope | None = None
        self.last_list_sent_at = float("-inf")
        """Time at which the last successful list was requested."""
        self.active = False
        """Whether this gateway reads the kind from the store itself."""
        self.failing = False
        """Whether the last call failed."""
        self._failed_calls = 0
        """Number of calls that failed since the last answer."""
        self.unanswered_since: float | None = None
        """Time of the last answer of the store, or at which this gateway began to read it; None
        while it does not."""
        self.answering_since: float | None = None
        """Time since which every call was answered, None while the last one was not."""

    @property
    def last_failure_at(self) -> float | None:
        """Return the time at which the last failed call was sent, None if no call has failed.

        Neither the time at which the failure was detected nor that of the next answer is used:
        both may be seconds after the store's return. Only the time from the start of the failed
        call is known to be an outage.
        """
        return self._last_failure_at

    def relist(self) -> None:
        """List again at once: received data may be out of date, and the open watch may be dead."""
        self._history_gone = True
        if self._step_scope is not None:
            self._step_scope.cancel()

    def restart_call(self, sent_before: float) -> None:
        """Repeat a call that was sent before a time: the connection that it uses may be dead."""
        is_older = self._is_calling and self._call_sent_at < sent_before
        if is_older and self._step_scope is not None:
            self._step_scope.cancel()

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self.active = self._read_policy.is_reader()
            if not self.active:
                self._reset()
                await anyio.sleep(self._jitter(_READER_CHECK_INTERVAL_SECONDS))
                continue
            if self._revision < 0 and not self._kind.may_start():
                await anyio.sleep(_START_CHECK_INTERVAL_SECONDS)
                continue
            try:
                with anyio.CancelScope() as self._step_scope:
                    await self._step()
            except HistoryGoneError:
                self._log.note("watch.gap", kind=self._kind.name, revision=self._revision)
                self._history_gone = True
                await anyio.sleep(self._jitter(_FIRST_PAUSE_SECONDS))
            except SilentStoreError as error:
                await self._handle_silence(error)
            except StoreError as error:
                await self._back_off(error)
            except Exception as error:
                # A programming error in a callback must not stop this loop permanently.
                self._log.note("watch.fault", kind=self._kind.name, error=repr(error))
                self._history_gone = True
                await anyio.sleep(self._jitter(_MAX_PAUSE_SECONDS))

    def _reset(self) -> None:
        """Reset, so that reading later resumes from the revision received from other gateways."""
        self.failing = False
        self.unanswered_since = None
        self._silent_since = None
        self._revision = -1
        self._pause = _FIRST_PAUSE_SECONDS

    async def _step(self) -> None:
        kind = self._kind
        # Changes received from other gateways are not requested again: the store may no longer
        # have their history.
        self._revision = max(self._revision, kind.held_revision())
        if self._revision < 0 or self._history_gone:
            await self._list()
        else:
            await self._watch()
        await anyio.sleep(self._jitter(kind.interval))

    async def _list(self) -> None:
        listed = await self._call(self._store.list_kind(self._kind.name))
        self._note_answer()
        self._history_gone = False
        self._revision = listed.revision
        self.last_list_sent_at = self._call_sent_at
        self._kind.on_list(listed)

    async def _watch(self) -> None:
        kind = self._kind
        watch = self._store.watch(kind.name, self._revision, self._watch_seconds())
        changes, revision = await self._call(watch)
        self._note_answer()
        if changes:
            kind.on_changes(changes, revision)
            self._revision = max(self._revision, revision)
        # Without changes the revision stays as it is: an impaired store may withhold events while
        # its revision increases, and would not deliver them after that revision.

    def _watch_seconds(self) -> float:
        if self._silent_since is not None:
            return _PROBE_WATCH_SECONDS
        shortening = _MAX_SHORTENING * self._rng.random() ** _SHORTENING_EXPONENT
        return self._kind.max_watch_seconds * (1.0 - shortening)

    async def _call(self, call: Awaitable[Answer]) -> Answer:
        """Make a call that `restart_call` may cancel."""
        self._call_sent_at = self._clock()
        if self.unanswered_since is None:
            self.unanswered_since = self._call_sent_at
        self._is_calling = True
        try:
            return await call
        finally:
            self._is_calling = False

    def _note_answer(self) -> None:
        self._pause = _FIRST_PAUSE_SECONDS
        self.unanswered_since = self._clock()
        if self._silent_since is not None:
            self._on_reconnection(self._silent_since)
            self._silent_since = None
        if self.answering_since is None:
            self.answering_since = self.unanswered_since
        if self.failing:
            self.failing = False
            self._log.note(
                "dependency.regained",
                name="store",
                kind=self._kind.name,
                failed_calls=self._failed_calls,
            )

    async def _handle_silence(self, error: SilentStoreError) -> None:
        """Repeat the call at once on a new connection; back off if that has no answer either."""
        if self._silent_since is not None:
            self._pause = max(self._pause, _SILENT_STORE_PAUSE_SECONDS)
            await self._back_off(error)
            return
        self._silent_since = self._clock()
        self._last_failure_at = self._call_sent_at
        self._log.note(
            "watch.silent",
            kind=self._kind.name,
            waited_seconds=round(self._silent_since - self._call_sent_at, 3),
        )

    async def _back_off(self, error: StoreError) -> None:
        self._last_failure_at = self._call_sent_at
        self.answering_since = None
        if not self.failing:
            self.failing = True
            self._failed_calls = 0
            self._log.note(
                "dependency.lost",
                name="store",
                kind=self._kind.name,
                error=repr(error),
                waited_seconds=round(self._clock() - self._call_sent_at, 3),
            )
        self._failed_calls += 1
        max_pause = (
            _MAX_SUBSTITUTE_PAUSE_SECONDS
            if self._read_policy.is_substitute_reader()
            else _MAX_PAUSE_SECONDS
        )
        await anyio.sleep(self._jitter(min(max_pause, self._pause)))
        self._pause = min(max_pause, self._pause * 2)

    def _jitter(self, seconds: float) -> float:
        return seconds * self._rng.uniform(0.7, 1.3)
