from __future__ import annotations

import asyncio
import random
import unittest

from lotushill import clock as clocks
from lotushill.event_log import EventLog
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import Change
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from lotushill.views.watcher import AlwaysReader
from lotushill.views.watcher import ReadPolicy
from lotushill.views.watcher import WatchedKind
from lotushill.views.watcher import Watcher


class ScriptedStore:
    """A store whose watches and lists follow a script; then it is silent."""

    def __init__(self, *steps: object) -> None:
        self.steps = list(steps)
        self.watched: list[int] = []
        self.waits: list[float] = []
        self.now = 0.0
        self.seconds_a_watch = 0.0
        """What each watch takes until it is answered, or fails."""
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
        self.now += self.seconds_a_watch
        if isinstance(step, Exception):
            raise step
        assert isinstance(step, tuple)
        return step


def change(name: str, revision: int) -> Change:
    return Change(StoredObject(name, revision, {}), False)


class Turns:
    """Reads in some of the turns that it is asked for."""

    def __init__(self, test: TestWatcher, turns: list[bool]) -> None:
        self._test = test
        self._turns = turns

    def is_reader(self) -> bool:
        if not self._turns:
            return True
        turn = self._turns.pop(0)
        if not turn:
            # While it rests, others bring it further.
            self._test.held = 30
        return turn

    def is_substitute_reader(self) -> bool:
        return False


class TestWatcher(unittest.IsolatedAsyncioTestCase):
    held = -1
    """Revision of the view, as others have brought it."""
    reading: ReadPolicy = AlwaysReader()

    async def follow(self, store: ScriptedStore) -> list[str]:
        seen: list[str] = []
        watcher = Watcher(
            store,
            WatchedKind(
                "k",
                lambda listed: seen.append(f"list@{listed.revision}"),
                lambda changes, at: seen.append(f"{[item.object.name for item in changes]}@{at}"),
                lambda: self.held,
                0.001,
            ),
            random.Random(1),
            EventLog("gw", lambda line: None),
            self.reading,
            lambda: store.now,
        )
        self.watcher = watcher
        task = asyncio.create_task(watcher.run())
        async with asyncio.timeout(5):
            await store.done.wait()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return seen

    async def test_it_goes_on_from_the_last_change(self) -> None:
        store = ScriptedStore(([change("a", 12)], 14), ([change("b", 15)], 15))
        self.assertEqual(["list@10", "['a']@14", "['b']@15"], await self.follow(store))
        self.assertEqual([10, 14, 15], store.watched)

    async def test_a_revision_that_moved_on_without_events_skips_nothing(self) -> None:
        store = ScriptedStore(([], 13), ([change("held back", 12)], 13))
        self.assertEqual(["list@10", "['held back']@13"], await self.follow(store))
        self.assertEqual([10, 10, 13], store.watched)

    async def test_after_a_gap_it_lists_and_after_an_outage_it_goes_on(self) -> None:
        store = ScriptedStore(
            HistoryGoneError(), StoreUnavailableError("x"), ([change("a", 12)], 12)
        )
        self.assertEqual(["list@10", "list@10", "['a']@12"], await self.follow(store))
        self.assertEqual((2, [10, 10, 10, 12]), (store.lists, store.watched))

    async def test_what_is_doubted_is_listed_again_though_a_watch_still_waits(self) -> None:
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

    async def test_a_fault_in_reading_ends_no_following(self) -> None:
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

    async def test_one_that_leaves_reading_to_others_makes_no_call_and_goes_on_from_theirs(
        self,
    ) -> None:
        store = ScriptedStore(([change("a", 12)], 14), ([change("b", 31)], 31))
        self.reading = Turns(self, [True, True, False, False])
        self.assertEqual(["list@10", "['a']@14", "['b']@31"], await self.follow(store))
        self.assertEqual((1, [10, 30, 31]), (store.lists, store.watched))

    async def test_one_that_was_told_everything_never_lists(self) -> None:
        store = ScriptedStore(([change("a", 31)], 31))
        self.reading = Turns(self, [False])
        await self.follow(store)
        self.assertEqual((0, [30, 31]), (store.lists, store.watched))

    async def test_what_others_brought_meanwhile_is_not_asked_for_again(self) -> None:
        store = ScriptedStore(([change("a", 12)], 12), ([change("b", 40)], 40))
        bring = store.watch

        async def watch(kind: str, revision: int, seconds: float) -> tuple[list[Change], int]:
            self.held = 30
            return await bring(kind, revision, seconds)

        store.watch = watch  # type: ignore[method-assign]
        await self.follow(store)
        self.assertEqual([10, 30, 40], store.watched)

    async def test_watches_end_soon_and_at_different_times(self) -> None:
        store = ScriptedStore(*[([], 13)] * 40)
        await self.follow(store)
        self.assertLessEqual(max(store.waits), 3.0)
        self.assertLess(min(store.waits), 1.2)
        self.assertGreater(len({round(wait, 1) for wait in store.waits}), 10)

    async def test_an_outage_is_known_only_from_when_the_call_that_failed_began(self) -> None:
        store = ScriptedStore(StoreUnavailableError("cut"), ([change("a", 12)], 12))
        store.seconds_a_watch = 5.0
        await self.follow(store)
        # Noticed at 5 s, answered again at 10 s: what left after the start of the call is bound.
        self.assertEqual((10.0, 0.0), (store.now, self.watcher.last_failure_at))

    async def test_without_a_failed_call_no_outage_is_known(self) -> None:
        await self.follow(ScriptedStore(([change("a", 12)], 12), HistoryGoneError()))
        self.assertIsNone(self.watcher.last_failure_at)
