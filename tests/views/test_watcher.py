from __future__ import annotations

import asyncio
import random
import unittest
from typing import TYPE_CHECKING

from lotushill import clock as clocks
from lotushill.event_log import EventLog
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import SilentStoreError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import Change
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from lotushill.views.watcher import AlwaysReader
from lotushill.views.watcher import ReadPolicy
from lotushill.views.watcher import WatchedKind
from lotushill.views.watcher import Watcher

if TYPE_CHECKING:
    from collections.abc import Callable


class ScriptedStore:
    """A store whose watches follow a script; after its last step they wait without end."""

    def __init__(self, *steps: object) -> None:
        self.steps = list(steps)
        self.watched: list[int] = []
        self.waits: list[float] = []
        self.now = 0.0
        self.seconds_per_watch = 0.0
        """Time that each watch takes until it is answered or fails."""
        self.lists = 0
        self.done = asyncio.Event()

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        del kind, stale
        self.lists += 1
        return ObjectList((), 10)

    async def watch(self, kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
        del kind
        self.watched.append(revision)
        self.waits.append(seconds)
        if not self.steps:
            self.done.set()
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        self.now += self.seconds_per_watch
        if isinstance(step, Exception):
            raise step
        assert isinstance(step, tuple)
        return step


def change(name: str, revision: int) -> Change:
    return Change(StoredObject(name, revision, {}), False)


class ScriptedReadPolicy:
    """Allows reading in the given turns, then always."""

    def __init__(self, test: TestWatcher, turns: list[bool]) -> None:
        self._test = test
        self._turns = turns

    def is_reader(self) -> bool:
        if not self._turns:
            return True
        turn = self._turns.pop(0)
        if not turn:
            # While this gateway does not read, the others advance its view.
            self._test.view_revision = 30
        return turn

    def is_substitute_reader(self) -> bool:
        return False


class TestWatcher(unittest.IsolatedAsyncioTestCase):
    view_revision = -1
    """Revision of the view, as received from other gateways."""
    read_policy: ReadPolicy = AlwaysReader()

    async def follow(
        self, store: ScriptedStore, on_reconnection: Callable[[float], None] = lambda _: None
    ) -> list[str]:
        seen: list[str] = []
        watcher = Watcher(
            store,
            WatchedKind(
                "k",
                lambda listed: seen.append(f"list@{listed.revision}"),
                lambda changes, at: seen.append(f"{[item.object.name for item in changes]}@{at}"),
                lambda: self.view_revision,
                0.001,
            ),
            random.Random(1),
            EventLog("gw", lambda line: None),
            self.read_policy,
            lambda: store.now,
            on_reconnection,
        )
        self.watcher = watcher
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(5):
            await store.done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return seen

    async def test_it_watches_from_the_last_change(self) -> None:
        store = ScriptedStore(([change("a", 12)], 14), ([change("b", 15)], 15))
        self.assertEqual(["list@10", "['a']@14", "['b']@15"], await self.follow(store))
        self.assertEqual([10, 14, 15], store.watched)

    async def test_a_revision_that_increases_without_events_skips_no_change(self) -> None:
        store = ScriptedStore(([], 13), ([change("withheld", 12)], 13))
        self.assertEqual(["list@10", "['withheld']@13"], await self.follow(store))
        self.assertEqual([10, 10, 13], store.watched)

    async def test_it_lists_after_a_gap_and_resumes_the_watch_after_an_outage(self) -> None:
        store = ScriptedStore(
            HistoryGoneError(), StoreUnavailableError("x"), ([change("a", 12)], 12)
        )
        self.assertEqual(["list@10", "list@10", "['a']@12"], await self.follow(store))
        self.assertEqual((2, [10, 10, 10, 12]), (store.lists, store.watched))

    async def test_an_unconfirmed_view_is_listed_again_while_a_watch_is_open(self) -> None:
        store = ScriptedStore(([change("a", 12)], 12))
        kind = WatchedKind(
            "k", lambda listed: None, lambda changes, revision: None, lambda: 10, 0.0
        )
        watcher = Watcher(store, kind, random.Random(1), EventLog("gw", lambda _: None))
        task = asyncio.create_task(watcher.run())
        await store.done.wait()
        self.assertEqual(float("-inf"), watcher.last_list_sent_at)
        asked = clocks.now()
        watcher.relist()
        while not store.lists:
            await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertGreaterEqual(watcher.last_list_sent_at, asked)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_an_error_in_reading_does_not_stop_the_watcher(self) -> None:
        seen: list[int] = []

        def fail_once(listed: ObjectList) -> None:
            seen.append(listed.revision)
            if len(seen) == 1:
                raise ZeroDivisionError

        store = ScriptedStore()
        kind = WatchedKind("k", fail_once, lambda changes, revision: None, lambda: -1, 0.0)
        watcher = Watcher(store, kind, random.Random(1), EventLog("gw", lambda _: None))
        task = asyncio.create_task(watcher.run())
        waiting = asyncio.create_task(store.done.wait())
        await asyncio.wait((task, waiting), return_when=asyncio.FIRST_COMPLETED)
        for item in (task, waiting):
            item.cancel()
        await asyncio.gather(task, waiting, return_exceptions=True)
        self.assertEqual(2, len(seen))

    async def test_a_passive_watcher_makes_no_call_and_continues_from_the_revision_of_others(
        self,
    ) -> None:
        store = ScriptedStore(([change("a", 12)], 14), ([change("b", 31)], 31))
        self.read_policy = ScriptedReadPolicy(self, [True, True, False, False])
        self.assertEqual(["list@10", "['a']@14", "['b']@31"], await self.follow(store))
        self.assertEqual((1, [10, 30, 31]), (store.lists, store.watched))

    async def test_a_view_received_from_others_is_not_listed(self) -> None:
        store = ScriptedStore(([change("a", 31)], 31))
        self.read_policy = ScriptedReadPolicy(self, [False])
        await self.follow(store)
        self.assertEqual((0, [30, 31]), (store.lists, store.watched))

    async def test_changes_received_from_others_are_not_requested_again(self) -> None:
        store = ScriptedStore(([change("a", 12)], 12), ([change("b", 40)], 40))
        scripted_watch = store.watch

        async def watch(kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
            self.view_revision = 30
            return await scripted_watch(kind, revision, seconds)

        store.watch = watch  # type: ignore[method-assign]
        await self.follow(store)
        self.assertEqual([10, 30, 40], store.watched)

    async def test_watches_end_soon_and_at_different_times(self) -> None:
        store = ScriptedStore(*[([], 13)] * 40)
        await self.follow(store)
        self.assertLessEqual(max(store.waits), 3.0)
        self.assertLess(min(store.waits), 1.2)
        self.assertGreater(len({round(wait, 1) for wait in store.waits}), 10)

    async def test_an_outage_counts_from_the_start_of_the_failed_call(self) -> None:
        store = ScriptedStore(StoreUnavailableError("cut"), ([change("a", 12)], 12))
        store.seconds_per_watch = 5.0
        await self.follow(store)
        # The failure is detected at 5 s and the next answer arrives at 10 s, but the outage counts
        # from the start of the failed call.
        self.assertEqual((10.0, 0.0), (store.now, self.watcher.last_failure_at))

    async def test_without_a_failed_call_there_is_no_outage(self) -> None:
        await self.follow(ScriptedStore(([change("a", 12)], 12), HistoryGoneError()))
        self.assertIsNone(self.watcher.last_failure_at)

    async def test_watches_are_not_more_frequent_than_every_two_seconds(self) -> None:
        """Every call to the store costs, so a dead connection must not be found by more calls."""
        await self.follow(ScriptedStore())
        waits = [self.watcher._watch_seconds() for _ in range(100_000)]
        self.assertGreaterEqual(sum(waits) / len(waits), 1.95)

    async def test_a_silent_watch_is_repeated_at_once_and_soon_shows_whether_the_store_answers(
        self,
    ) -> None:
        store = ScriptedStore(SilentStoreError("x"), ([change("a", 12)], 12))
        self.assertEqual(["list@10", "['a']@12"], await self.follow(store))
        self.assertEqual([10, 10, 12], store.watched)
        self.assertLess(store.waits[1], 0.1)
        self.assertFalse(self.watcher.failing)

    async def test_a_store_that_leaves_two_calls_unanswered_counts_as_failing(self) -> None:
        store = ScriptedStore(SilentStoreError("x"), SilentStoreError("x"))
        await self.follow(store)
        self.assertTrue(self.watcher.failing)

    async def test_an_answer_after_a_silent_call_is_reported_for_the_other_kinds(self) -> None:
        noticed: list[float] = []
        store = ScriptedStore(SilentStoreError("x"), SilentStoreError("x"), ([change("a", 12)], 12))
        store.seconds_per_watch = 2.5
        await self.follow(store, noticed.append)
        self.assertEqual([2.5], noticed)

    async def test_calls_that_began_before_a_silence_was_noticed_are_restarted(self) -> None:
        store = ScriptedStore()
        kind = WatchedKind("k", lambda _: None, lambda *_: None, lambda: 10, 0.0)
        watcher = Watcher(store, kind, random.Random(1), EventLog("gw", lambda _: None))
        task = asyncio.create_task(watcher.run())
        await store.done.wait()
        store.done.clear()
        watcher.restart_call(0.0)
        await asyncio.sleep(0)
        self.assertEqual([10], store.watched)
        watcher.restart_call(clocks.now())
        await store.done.wait()
        self.assertEqual([10, 10], store.watched)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
