"""The store's client and the views that follow the store, against the stand-in over a socket."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import unittest
from typing import TYPE_CHECKING
from typing import Any

from lotushill.event_log import EventLog
from lotushill.gateway.store_views import StoreViews
from lotushill.links.http_server import HttpServer
from lotushill.links.messages import ViewKind
from lotushill.platform.object_store import ObjectStore
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_app import StoreFault
from lotushill.standin.metadata_store import MetadataStore
from lotushill.views.exceptions import HistoryGoneError
from lotushill.views.exceptions import MalformedViewError
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from tests.entries import entry
from tests.platform.test_configuration import SPEC
from tests.requests.rig import ScriptedUpstream

if TYPE_CHECKING:
    from tests.requests.rig import ReceivedRequest

UPSTREAM = entry("llm", "127.0.0.1:9")


class StoreCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = MetadataStore(page_size=3)
        self.app = MetadataApp(self.store)
        self.server = HttpServer(self.app, "127.0.0.1:0")
        self.task = asyncio.create_task(self.server.serve())
        await self.server.wait_started()
        self.client = ObjectStore(self.server.address)

    async def asyncTearDown(self) -> None:
        self.server.abort()
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)


class TestObjectStore(StoreCase):
    async def test_a_list_of_several_pages_is_complete(self) -> None:
        for number in range(8):
            self.store.create("k", f"n{number}", {"number": number})
        listed = await self.client.list_kind("k")
        self.assertEqual([f"n{n}" for n in range(8)], [item.name for item in listed.objects])
        self.assertEqual(8, listed.revision)

    async def test_a_watch_returns_changes_and_the_revision_to_continue_from(self) -> None:
        self.store.create("k", "a", 1)
        self.store.delete("k", "a")
        changes, revision = await self.client.watch("k", 0, 1.0)
        self.assertEqual([("a", False), ("a", True)], [(c.object.name, c.gone) for c in changes])
        self.assertEqual(2, revision)

    async def test_error_statuses_raise_typed_errors(self) -> None:
        self.store.create("k", "a", 1)
        with self.assertRaises(RevisionConflictError):
            await self.client.create("k", "a", 2)
        with self.assertRaises(RevisionConflictError):
            await self.client.replace("k", "a", 2, revision=99)
        self.store.compact()
        with self.assertRaises(HistoryGoneError):
            await self.client.watch("k", 0, 0.1)
        for fault in (StoreFault.BUSY, StoreFault.MANY):
            self.app.fault = fault
            with self.assertRaises(StoreUnavailableError):
                await self.client.list_kind("k")

    async def test_get_returns_an_object_or_none(self) -> None:
        self.store.create("k", "a", {"x": 1})
        stored = await self.client.get("k", "a")
        self.assertEqual({"x": 1}, stored.spec if stored else None)
        self.assertIsNone(await self.client.get("k", "b"))


class TestStoreViews(StoreCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.lines: list[bytes] = []
        self.now = 0.0
        self.views = StoreViews(
            self.client,
            random.Random(1),
            EventLog("gw", self.lines.append),
            lambda: None,
            clock=lambda: self.now,
        )

    def put_version(self, version: int) -> None:
        self.store.put("config", "main", {**SPEC, "version": version})

    async def follow(self, *conditions: Any) -> None:
        """Run the views until each condition has been true, one after the other."""
        tasks = [asyncio.create_task(run()) for run in self.views.tasks().values()]
        try:
            async with asyncio.timeout(10):
                for condition in conditions:
                    while not condition():
                        await asyncio.sleep(0.01)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def version(self) -> int:
        table = self.views.configuration.table
        return table.version if table else 0

    async def test_a_list_and_later_changes_are_followed(self) -> None:
        self.put_version(1)
        self.store.create("servers", "i-1", UPSTREAM)

        def is_loaded() -> bool:
            return self.version() == 1 and self.views.upstreams.is_loaded

        def change() -> bool:
            self.put_version(2)
            self.store.put("servers", "i-1", {**UPSTREAM, "state": "draining"})
            return True

        await self.follow(
            is_loaded,
            change,
            lambda: self.version() == 2,
            lambda: not self.views.upstreams.of("llm"),
        )

    async def test_after_a_gap_in_the_history_a_list_is_read(self) -> None:
        self.put_version(1)

        def change() -> bool:
            self.put_version(2)
            self.store.compact()
            self.put_version(3)
            return True

        await self.follow(lambda: self.version() == 1, change, lambda: self.version() == 3)

    async def test_an_outage_changes_nothing_and_its_start_and_end_are_logged_once(self) -> None:
        self.put_version(1)

        def fail() -> bool:
            self.app.fault = StoreFault.BUSY
            self.store.put("config", "other", {})
            return True

        def recover() -> bool:
            self.put_version(2)
            self.app.fault = StoreFault.NONE
            return True

        await self.follow(
            lambda: self.version() == 1,
            fail,
            lambda: not self.views.is_fresh(),
            lambda: self.version() == 1,
            recover,
            lambda: self.version() == 2,
            lambda: self.views.is_fresh(),
        )
        lost = [line for line in self.lines if b"dependency.lost" in line and b'"config"' in line]
        self.assertEqual(1, len(lost))

    async def test_a_configuration_that_cannot_be_read_leaves_the_last_one_in_force(self) -> None:
        self.put_version(1)

        def make_malformed() -> bool:
            self.store.put("config", "main", {"version": 2, "routes": [{"name": "broken"}]})
            return True

        await self.follow(
            lambda: self.version() == 1,
            make_malformed,
            lambda: any(b"configuration.rejected" in line for line in self.lines),
        )
        self.assertEqual(1, self.version())

    async def test_a_peers_view_is_applied_only_if_it_is_newer(self) -> None:
        def receive(kind: ViewKind, revision: int, value: Any) -> None:
            self.views.receive_from_peer(kind, revision, json.dumps(value))

        receive(ViewKind.CONFIGURATION, 5, {**SPEC, "version": 5})
        receive(ViewKind.CONFIGURATION, 4, {**SPEC, "version": 6})
        self.assertEqual(5, self.version())
        receive(ViewKind.UPSTREAMS, 9, {"entries": {"i-1": UPSTREAM}, "lapsed": {}})
        receive(ViewKind.UPSTREAMS, 8, {"entries": {}, "lapsed": {}})
        self.assertEqual(["i-1"], [item.id for item in self.views.upstreams.of("llm")])

    async def test_no_text_of_a_peer_breaks_a_view(self) -> None:
        values: tuple[Any, ...] = (None, [], "x", {"version": None}, {"i-1": None}, 3)
        texts = ["", "{", *(json.dumps(value) for value in values)]
        for kind in ViewKind:
            for text in texts:
                try:
                    self.views.receive_from_peer(kind, 5, text)
                except MalformedViewError:
                    continue
        self.assertEqual(0, self.version())
        self.assertFalse(self.views.upstreams.is_loaded)

    async def test_upstreams_missing_after_an_outage_are_kept_for_a_while(self) -> None:
        self.store.put("servers", "i-1", UPSTREAM)
        self.store.put("servers", "i-2", {**UPSTREAM, "state": "draining"})

        def fail() -> bool:
            self.app.fault = StoreFault.BUSY
            self.store.put("servers", "i-3", UPSTREAM)
            return True

        def lapse() -> bool:
            for name in ("i-1", "i-2", "i-3"):
                self.store.delete("servers", name)
            return True

        def recover() -> bool:
            self.app.fault = StoreFault.NONE
            return True

        await self.follow(
            lambda: len(self.views.upstreams.all()) == 2,
            fail,
            lambda: any(b"dependency.lost" in x and b'"servers"' in x for x in self.lines),
            lapse,
            recover,
            lambda: self.views.upstreams.find("i-2") is None,
        )
        self.assertIsNotNone(self.views.upstreams.find("i-1"))
        self.now += 1.7
        self.views.expire()
        self.assertIsNotNone(self.views.upstreams.find("i-1"))
        self.now += 0.2
        self.views.expire()
        self.assertEqual((), self.views.upstreams.all())

    async def test_an_upstream_removed_without_an_outage_is_dropped_at_once(self) -> None:
        self.store.put("servers", "i-1", UPSTREAM)

        def remove() -> bool:
            self.store.delete("servers", "i-1")
            return True

        await self.follow(
            lambda: len(self.views.upstreams.all()) == 1,
            remove,
            lambda: not self.views.upstreams.all(),
        )

    async def test_the_settings_tree_is_followed(self) -> None:
        self.store.put("lotushill-settings", "root", {"policy": {"tier": 7}})

        def make_malformed() -> bool:
            self.store.put("lotushill-settings", "team.x", {"team": "x", "policy": {"tier": 77}})
            return True

        await self.follow(
            lambda: len(self.views.settings.objects) == 1,
            make_malformed,
            lambda: any(b"settings.rejected" in line for line in self.lines),
        )
        self.assertIn("team/x", self.views.settings.faults)


class TestOrderOfReading(StoreCase):
    """The holds are read before the configuration, or a held request is sent once more.

    All gateways were killed while the store was unavailable. A gateway that started in an outage of
    two seconds or more read its configuration and the holds concurrently once the store answered,
    and served as soon as it had the first of the two. It also accepted requests before it was
    ready.
    """

    async def test_holds_are_read_first_when_the_store_returns_late(self) -> None:
        self.store.put("config", "main", SPEC)
        self.app.fault = StoreFault.BUSY
        views = self.follow_from_start()
        while not any(b"dependency.lost" in line for line in self.lines):
            await asyncio.sleep(0.005)
        self.now += 10.0
        self.app.rejected_kind = "lotushill-quarantine"
        self.app.fault = StoreFault.NONE
        while not views.upstreams.is_loaded:
            await asyncio.sleep(0.005)
        await asyncio.sleep(0.2)
        before = views.configuration.table
        self.app.rejected_kind = ""
        while views.configuration.table is None:
            await asyncio.sleep(0.005)
        await self.stop_following()
        self.assertIsNone(before)
        self.assertGreaterEqual(views.holds.revision, 0)

    async def test_if_only_the_holds_cannot_be_read_requests_are_served_after_two_seconds(
        self,
    ) -> None:
        self.store.put("config", "main", SPEC)
        self.app.rejected_kind = "lotushill-quarantine"
        views = self.follow_from_start()
        while not views.upstreams.is_loaded:
            await asyncio.sleep(0.005)
        self.assertFalse(views.holds_are_known())
        self.now += 2.1
        while views.configuration.table is None:
            await asyncio.sleep(0.005)
        await self.stop_following()
        self.assertTrue(views.holds_are_known())

    def follow_from_start(self) -> StoreViews:
        self.lines: list[bytes] = []
        self.now = 1000.0
        log = EventLog("gw", self.lines.append)
        views = StoreViews(self.client, random.Random(1), log, lambda: None, clock=lambda: self.now)
        self.tasks = [asyncio.create_task(run()) for run in views.tasks().values()]
        return views

    async def stop_following(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def test_the_configuration_is_read_after_the_requests_that_are_held(self) -> None:
        """If the store failed between the two, a gateway would serve requests without the holds."""
        self.store.put("config", "main", SPEC)
        views = StoreViews(
            self.client, random.Random(1), EventLog("gw", lambda _: None), lambda: None
        )
        tasks = [asyncio.create_task(run()) for run in views.tasks().values()]
        while views.configuration.table is None:
            await asyncio.sleep(0.005)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        kinds = [call.partition("?")[0] for call in self.app.calls]
        first = kinds.index("GET /objects/config")
        self.assertIn("GET /objects/lotushill-quarantine", kinds[:first])


class TestAnswersWithoutALength(unittest.IsolatedAsyncioTestCase):
    """The store's answer ends with its connection, and is cut before its end."""

    async def test_a_truncated_or_empty_list_is_no_list(self) -> None:
        content = b'{"items": [{"metadata": {"name": "i-1", "revision": 4}, "spec": {}}], "at": 4}'
        for size in (0, 1, len(content) // 2, len(content) - 1):
            upstream = ScriptedUpstream([functools.partial(_answer_unframed, content[:size])])
            await upstream.start()
            with self.assertRaises(StoreUnavailableError):
                await ObjectStore(upstream.address).list_kind("servers")
            with self.assertRaises(StoreUnavailableError):
                await ObjectStore(upstream.address).watch("servers", 3, 0.1)
            await upstream.close()


async def _answer_unframed(content: bytes, seen: ReceivedRequest) -> None:
    seen.answer("200 OK\r\n", content)
    await seen.writer.drain()
    seen.close()
