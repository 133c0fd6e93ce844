"""Tests that holds are written to the platform's store and deleted from it."""

from __future__ import annotations

import random
import unittest
from typing import Any

from lotushill.event_log import EventLog
from lotushill.links.quarantine_messages import SuspectState
from lotushill.quarantine.hold_store import HoldStore
from lotushill.quarantine.hold_view import HoldView
from lotushill.quarantine.quarantine import Quarantine
from lotushill.quarantine.stored_hold import StoredHold
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError

ONE = b"1" * 16


class FakeStore:
    def __init__(self) -> None:
        self.objects: dict[str, Any] = {}
        self.calls: list[str] = []
        self.is_away = False

    async def create(self, kind: str, name: str, spec: Any) -> object:
        self.calls.append(f"create {name}")
        if self.is_away:
            raise StoreUnavailableError("away")
        if name in self.objects:
            raise RevisionConflictError
        self.objects[name] = spec
        return spec

    async def delete(self, kind: str, name: str) -> None:
        self.calls.append(f"delete {name}")
        self.objects.pop(name, None)


class TestHoldStore(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.store = FakeStore()
        self.quarantine = Quarantine()
        self.view = HoldView()
        self.holds = HoldStore(
            self.store,
            self.quarantine,
            self.view,
            EventLog("gw", lambda _: None),
            random.Random(1),
            lambda: self.now,
            lambda: 1.7e9,
        )

    async def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / 0.5)):
            self.now += 0.5
            await self.holds.reconcile()

    def hold(self, identity: bytes = ONE) -> None:
        for upstream in "abc":
            self.quarantine.record_upstream_failure(identity, "team", "/p", upstream, self.now)

    async def test_hold_is_written_after_half_a_second(self) -> None:
        self.hold()
        await self.holds.reconcile()
        self.assertEqual({}, self.store.objects)
        await self.advance(5.0)
        self.assertEqual([f"create {ONE.hex()}"], self.store.calls)
        self.assertEqual(["a", "b", "c"], self.store.objects[ONE.hex()]["upstreams"])

    async def test_hold_cleared_before_its_write_is_never_written(self) -> None:
        self.hold()
        await self.holds.reconcile()
        self.quarantine.clear(ONE)
        await self.advance(5.0)
        self.assertEqual([], self.store.calls)

    async def test_hold_written_by_another_gateway_is_not_written_again(self) -> None:
        self.store.objects[ONE.hex()] = {}
        self.hold()
        await self.advance(5.0)
        self.assertEqual(1, len(self.store.calls))

    async def test_writes_are_retried_at_intervals_during_an_outage(self) -> None:
        self.store.is_away = True
        self.hold()
        await self.advance(30.0)
        self.assertLess(len(self.store.calls), 30)
        self.store.is_away = False
        await self.advance(4.0)
        self.assertIn(ONE.hex(), self.store.objects)

    async def test_failures_observed_only_by_others_are_left_to_them_at_first(self) -> None:
        self.quarantine.merge_peer_state(SuspectState(ONE, "team", "/p", ("a", "b", "c")), self.now)
        await self.advance(3.5)
        self.assertEqual([], self.store.calls)
        await self.advance(30.0)
        self.assertEqual(1, len(self.store.calls))

    async def test_hold_is_deleted_after_the_request_completed(self) -> None:
        hold = StoredHold("team", "/p", (), 1.7e9)
        self.store.objects[ONE.hex()] = hold.to_spec()
        self.quarantine.replace_stored({ONE: hold})
        self.quarantine.record_upstream_failure(ONE, "team", "/p", "a", self.now)
        self.quarantine.clear(ONE)
        await self.holds.reconcile()
        self.assertEqual({}, self.store.objects)

    async def test_the_objects_are_bounded_and_the_oldest_of_the_same_team_is_evicted(self) -> None:
        specs = {
            number.to_bytes(16, "big").hex(): StoredHold(
                "team" if number % 2 else "other", "/p", (), 1e9 + number
            ).to_spec()
            for number in range(512)
        }
        self.view.replace(specs, 1)
        self.hold()
        await self.advance(1.5)
        oldest = (1).to_bytes(16, "big").hex()
        self.assertEqual([f"delete {oldest}", f"create {ONE.hex()}"], self.store.calls)
