"""Sweeping takes what is over and nothing else."""

from __future__ import annotations

import unittest

import anyio

from lotushill.callers.claims import LIFETIME_SECONDS
from lotushill.callers.claims import ClaimResult
from lotushill.callers.claims import Claims
from lotushill.contracts.generation import HEAD_KEY
from lotushill.contracts.generation import OBJECT_PREFIX
from lotushill.contracts.generation import parse_head
from lotushill.keeper.sweeper import Sweeper
from lotushill.objectapi.objects import ABSENT
from lotushill.objectapi.objects import StoredObject
from lotushill.standin.object_store import ObjectStore
from tests.contracts.documents import root_text
from tests.contracts.documents import team_text
from tests.keeper.test_lease_protocol import Actor
from tests.objectapi.fake_objects import FakeObjects

ROUNDS = 256


class Late(FakeObjects):
    """An edit is accepted just after the sweeper has read the head."""

    def __init__(self, store: ObjectStore, actor: Actor, text: str) -> None:
        super().__init__(store)
        self.actor = actor
        self.text = text
        self.armed = False

    async def get(self, key: str) -> StoredObject | None:
        """Read, then let the edit in."""
        found = await super().get(key)
        if key == HEAD_KEY and self.armed:
            self.armed = False
            held = self.store.get("desired/team/bodas")
            self.store.put("desired/team/bodas", self.text, held.version if held else ABSENT)
            await self.actor.acceptor.start()
            await self.actor.acceptor.accept()
        return found


class TestSweeper(unittest.TestCase):
    def test_a_text_that_comes_back_into_force_during_a_sweep_stays(self) -> None:
        store = ObjectStore()
        store.put("desired/root", root_text(), ABSENT)
        actor = Actor("keeper", store)
        first, second = team_text("bodas"), team_text("bodas", policy={"deadline": 2.0})
        version = ABSENT
        for text in (first, second):
            version = store.put("desired/team/bodas", text, version).version
            actor.refresh()
            actor.accept()
        objects = Late(store, actor, first)
        sweeper = Sweeper(objects)
        for number in range(2 * 60):
            objects.armed = number == 2 * 60 - 1
            anyio.run(sweeper.sweep, 0.0)
        head = store.get(HEAD_KEY)
        assert head is not None
        for digest in parse_head(head.value).objects.values():
            self.assertIsNotNone(store.get(OBJECT_PREFIX + digest), "a text in force was swept")

    def test_expired_claims_go_and_others_stay(self) -> None:
        async def main() -> None:
            objects = FakeObjects(ObjectStore())
            claims = Claims(objects)
            for index in range(40):
                await claims.claim("bodas", f"old-{index}", now=0.0)
            await claims.claim("bodas", "new", now=LIFETIME_SECONDS)
            sweeper = Sweeper(objects)
            for _ in range(ROUNDS):
                await sweeper.sweep(LIFETIME_SECONDS + 1.0)
            self.assertEqual(len(objects.store.list("claims/")), 1)
            again = await claims.claim("bodas", "new", now=LIFETIME_SECONDS)
            self.assertIs(again.result, ClaimResult.TAKEN)

        anyio.run(main)

    def test_texts_that_a_head_names_stay(self) -> None:
        store = ObjectStore()
        store.put("desired/root", root_text(), ABSENT)
        actor = Actor("keeper", store)
        version = ABSENT
        for index in range(5):
            text = team_text("bodas", policy={"deadline": 1.0 + index})
            version = store.put("desired/team/bodas", text, version).version
            actor.now += 1.0
            actor.refresh()
            actor.accept()
        sweeper = Sweeper(FakeObjects(store))
        for _ in range(2 * ROUNDS):
            anyio.run(sweeper.sweep, 0.0)
        head = store.get(HEAD_KEY)
        assert head is not None
        named = {OBJECT_PREFIX + digest for digest in parse_head(head.value).objects.values()}
        self.assertEqual({item.key for item in store.list(OBJECT_PREFIX)}, named)
