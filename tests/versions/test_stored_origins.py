"""Where streams began outlives all gateways, in the platform's store.

After all gateways had been killed at once, nobody knew at which version a stream had begun, so that
none that was taken up went on.
"""

from __future__ import annotations

import unittest
from typing import Any

import anyio

from lotushill.event_log import EventLog
from lotushill.links.origin_messages import StreamOrigin
from lotushill.versions.origin_records import OriginRecords
from lotushill.versions.stored_origins import KIND
from lotushill.versions.stored_origins import StoredOrigins
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from tests.virtual_time import run_virtually

_WALL_OFFSET_SECONDS = 1.7e9


class FakeStore:
    """Store that may be away, and that may lose the answers of writes."""

    def __init__(self) -> None:
        self.specs: dict[str, Any] = {}
        self.is_away = False
        self.loses_answers = False
        self.writes = 0

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        self._check(kind)
        items = [StoredObject(name, 1, spec) for name, spec in self.specs.items()]
        return ObjectList(tuple(items), 1)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        self._check(kind)
        if name in self.specs:
            raise RevisionConflictError
        await self.replace(kind, name, spec)

    async def replace(self, kind: str, name: str, spec: Any) -> None:
        self._check(kind)
        self.specs[name] = spec
        self.writes += 1
        if self.loses_answers:
            raise StoreUnavailableError

    def _check(self, kind: str) -> None:
        assert kind == KIND
        if self.is_away:
            raise StoreUnavailableError


class Gateway:
    """One life of a gateway's records."""

    def __init__(
        self, store: FakeStore, name: str, several: bool = True, small: bool = True
    ) -> None:
        self.records = OriginRecords()
        self.stored = StoredOrigins(
            name,
            store,
            self.records,
            EventLog(name, lambda _: None),
            anyio.current_time,
            lambda: anyio.current_time() + _WALL_OFFSET_SECONDS,
            lambda: small,
            lambda: several,
        )

    def version_of(self, request: str) -> str | None:
        found = self.records.find(request, anyio.current_time())
        return found.version if found is not None else None


def origin(request: str, version: str = "v1", seconds: float = 30.0) -> StreamOrigin:
    return StreamOrigin(request, "s", version, seconds)


class TestStoredOrigins(unittest.TestCase):
    def setUp(self) -> None:
        self.store = FakeStore()

    async def live(self, gateway: Gateway, seconds: float, *streams: StreamOrigin) -> None:
        """Let a gateway run for some seconds, in which streams begin, and kill it."""
        async with anyio.create_task_group() as group:
            group.start_soon(gateway.stored.run)
            for item in streams:
                await anyio.sleep(0.1)
                gateway.stored.note(item)
            await anyio.sleep(seconds)
            group.cancel_scope.cancel()

    def test_the_versions_outlive_all_gateways(self) -> None:
        async def main() -> None:
            for name, version in (("g0", "v1"), ("g1", "v2")):
                streams = [origin(f"{name}-{number}", version) for number in range(20)]
                await self.live(Gateway(self.store, name), 2.0, *streams)
            for name in ("g0", "g1", "g2"):
                gateway = Gateway(self.store, name)
                await self.live(gateway, 0.5)
                found = [gateway.version_of(f"g{one}-19") for one in (0, 1)]
                self.assertEqual(["v1", "v2"], found)

        run_virtually(main())

    def test_a_restarted_gateway_keeps_what_it_wrote_before(self) -> None:
        async def main() -> None:
            await self.live(Gateway(self.store, "g0"), 2.0, origin("r1"))
            await self.live(Gateway(self.store, "g0"), 2.0, origin("r2", "v2"))
            gateway = Gateway(self.store, "g1")
            await self.live(gateway, 0.5)
            self.assertEqual(["v1", "v2"], [gateway.version_of(name) for name in ("r1", "r2")])

        run_virtually(main())

    def test_streams_that_cannot_be_taken_up_any_more_are_dropped(self) -> None:
        async def main() -> None:
            await self.live(Gateway(self.store, "g0"), 8.0, origin("r1", seconds=3.0))
            gateway = Gateway(self.store, "g0")
            await self.live(gateway, 2.0, origin("r2"))
            self.assertIsNone(gateway.version_of("r1"))
            self.assertEqual(["r2"], [item[0] for item in self.store.specs["g0"]["streams"]])

        run_virtually(main())

    def test_an_outage_delays_the_write_and_the_read(self) -> None:
        async def main() -> None:
            async def ends_outage() -> None:
                await anyio.sleep(5.0)
                self.store.is_away = False

            for gateway, streams in ((Gateway(self.store, "g0"), [origin("r1")]), (None, [])):
                self.store.is_away = True
                one = gateway or Gateway(self.store, "g1")
                async with anyio.create_task_group() as group:
                    group.start_soon(ends_outage)
                    await self.live(one, 9.0, *streams)
            self.assertEqual("v1", one.version_of("r1"))

        run_virtually(main())

    def test_a_write_whose_answer_is_lost_is_repeated(self) -> None:
        async def main() -> None:
            self.store.loses_answers = True
            gateway = Gateway(self.store, "g0")
            async with anyio.create_task_group() as group:
                group.start_soon(self.live, gateway, 6.0, origin("r1"))
                await anyio.sleep(3.0)
                self.store.loses_answers = False
            self.assertEqual(["r1"], [item[0] for item in self.store.specs["g0"]["streams"]])

        run_virtually(main())

    def test_writes_are_few(self) -> None:
        async def main() -> None:
            streams = [origin(f"r{number}") for number in range(600)]
            await self.live(Gateway(self.store, "g0", several=True), 0.0, *streams)
            self.assertLessEqual(self.store.writes, 61)
            self.store.writes = 0
            await self.live(Gateway(self.store, "g0", several=False), 0.0, *streams)
            self.assertLessEqual(self.store.writes, 16)
            self.store.writes = 0
            await self.live(Gateway(self.store, "g0", small=False), 0.0, *streams)
            self.assertEqual(0, self.store.writes)

        run_virtually(main())

    def test_an_object_of_another_writer_is_ignored(self) -> None:
        async def main() -> None:
            good = ["r1", "s", "v1", _WALL_OFFSET_SECONDS * 2]
            odd = [None, 7, [], ["r2"], ["r3", "s", None, 1.0], ["r4", "s", "v1", "soon"], good]
            specs: list[Any] = [None, [], "text", {}, {"streams": 7}, {"streams": odd}]
            for name, spec in enumerate(specs):
                self.store.specs[f"x{name}"] = spec
            gateway = Gateway(self.store, "g0")
            await self.live(gateway, 0.5)
            self.assertEqual((1, "v1"), (len(gateway.records), gateway.version_of("r1")))

        run_virtually(main())
