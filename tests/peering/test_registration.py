"""Discovery of gateways through the store, and the number of calls it takes."""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.event_log import EventLog
from lotushill.peering.registration import KIND
from lotushill.peering.registration import Registration
from lotushill.process.settings import GatewaySettings
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject

if TYPE_CHECKING:
    from collections.abc import Callable

_TIMEOUT_SECONDS = 60.0


@dataclass
class CountingStore:
    """Store with objects by name; a stale list returns those present at the start."""

    objects: dict[str, Any] = field(default_factory=dict)
    stale: dict[str, Any] = field(default_factory=dict)
    lists: int = 0
    stale_lists: int = 0
    writes: int = 0

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        assert kind == KIND
        self.stale_lists += stale
        self.lists += not stale
        listed = self.stale if stale else self.objects
        items = tuple(StoredObject(name, 1, spec) for name, spec in listed.items())
        return ObjectList(items, 1)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        self.writes += 1
        if name in self.objects:
            raise RevisionConflictError
        self.objects[name] = spec

    async def replace(self, kind: str, name: str, spec: Any) -> None:
        self.writes += 1
        self.objects[name] = spec


@dataclass
class KnownMembers:
    """The part of a membership that registration uses."""

    others: int = 0
    seeds: set[str] = field(default_factory=set)

    def live(self) -> tuple[int, ...]:
        return tuple(range(1 + self.others))

    def add_seeds(self, addresses: Any) -> None:
        self.seeds |= set(addresses)
        self.others = max(self.others, len(self.seeds) - 1)


@dataclass
class KnownPeers:
    membership: KnownMembers = field(default_factory=KnownMembers)


def settings(index: int) -> GatewaySettings:
    return GatewaySettings(
        f"gw-{index}", "h", "r", "10.0.0.1:1", "10.0.0.1:2", f"10.0.0.{index}:7", "10.0.1.1:1"
    )


async def run_until(
    done: Callable[[], bool], store: CountingStore, peers: list[KnownPeers]
) -> None:
    """Run the registration of gateways, which never ends, until a condition holds."""
    async with anyio.create_task_group() as group:
        for index, item in enumerate(peers):
            registration: Any = Registration
            instance = registration(
                settings(index),
                store,
                item,
                EventLog("gw", lambda line: None),
                random.Random(index),
            )
            group.start_soon(instance.run)
        with anyio.fail_after(_TIMEOUT_SECONDS):
            while not done():
                await anyio.sleep(0.01)
        group.cancel_scope.cancel()


class TestRegistration(unittest.IsolatedAsyncioTestCase):
    async def test_restart_at_the_same_address_writes_nothing(self) -> None:
        spec = {"peers": "10.0.0.0:7", "hall": "h", "status": "10.0.0.1:2"}
        objects = {"gw-0": spec, "gw-1": {**spec, "peers": "10.0.0.1:7"}}
        store = CountingStore(dict(objects), dict(objects))
        peers = KnownPeers()
        await run_until(lambda: store.stale_lists == 2, store, [peers])
        self.assertEqual((0, 0), (store.writes, store.lists))
        self.assertIn("10.0.0.1:7", peers.membership.seeds)

    async def test_gateways_started_at_once_find_each_other_despite_stale_lists(self) -> None:
        store = CountingStore()
        peers = [KnownPeers() for _ in range(8)]
        await run_until(
            lambda: all(len(item.membership.seeds) == 8 for item in peers), store, peers
        )
        self.assertEqual(8, store.writes)

    async def test_gateway_found_by_others_does_not_read_the_current_list(self) -> None:
        store = CountingStore()
        peers = KnownPeers(KnownMembers(others=3))
        await run_until(lambda: store.stale_lists == 2, store, [peers])
        self.assertEqual((1, 0), (store.writes, store.lists))
