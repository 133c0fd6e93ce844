"""The lease and accept protocols over all interleavings of three actors, and random long ones."""

from __future__ import annotations

import itertools
import unittest
from collections import deque

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from lotushill.contracts.generation import HEAD_KEY
from lotushill.contracts.generation import OBJECT_PREFIX
from lotushill.contracts.generation import load_team
from lotushill.contracts.generation import parse_head
from lotushill.keeper.acceptor import Acceptor
from lotushill.keeper.lease import Lease
from lotushill.keeper.lease import LeaseOptions
from lotushill.objectapi.exceptions import PlatformError
from lotushill.objectapi.objects import ABSENT
from lotushill.standin.object_store import ObjectStore
from tests.contracts.documents import root_text
from tests.contracts.documents import team_text
from tests.objectapi.fake_objects import FakeObjects
from tests.objectapi.fake_objects import Trouble

OPTIONS = LeaseOptions(duration=5.0, margin=1.0)


class Actor:
    """One keeper with a clock of its own, which may stand still while it is paused."""

    def __init__(self, name: str, store: ObjectStore) -> None:
        self.now = 0.0
        self.objects = FakeObjects(store)
        self.lease = Lease("accept", name, self.objects, lambda: self.now, OPTIONS)
        self.acceptor = Acceptor(self.objects, self.lease)

    def refresh(self) -> None:
        """Renew or try to take the lease."""
        anyio.run(self.lease.refresh)

    def accept(self) -> None:
        """Accept whatever is desired, if the lease is held."""
        if self.lease.held():
            anyio.run(self._accept)

    async def _accept(self) -> None:
        try:
            await self.acceptor.start()
            await self.acceptor.accept()
        except PlatformError:
            pass


class TestAllInterleavings(unittest.TestCase):
    def test_two_never_hold_the_lease_at_once(self) -> None:
        """Every order of nine refreshes of three actors, with time passing between them."""
        for order in itertools.product(range(3), repeat=7):
            store = ObjectStore()
            actors = [Actor(f"keeper-{index}", store) for index in range(3)]
            tokens: list[int] = []
            for index in order:
                for actor in actors:
                    actor.now += 1.7
                actors[index].refresh()
                holders = [actor for actor in actors if actor.lease.held()]
                self.assertLessEqual(len(holders), 1, order)
                tokens += [actor.lease.token for actor in holders]
            self.assertEqual(tokens, sorted(tokens), order)


class AcceptHistory(RuleBasedStateMachine):
    """Edits, accepts, lost answers, pauses and take-overs, in any order."""

    @initialize()
    def start(self) -> None:
        self.store = ObjectStore()
        self.actors = [Actor(f"keeper-{index}", self.store) for index in range(3)]
        self.edits = 0
        self.generations: list[int] = [0]
        self.in_force: dict[int, str] = {}
        self.store.put("desired/root", root_text(), ABSENT)

    @rule(team=st.integers(0, 2), good=st.booleans())
    def edit(self, team: int, good: bool) -> None:
        self.edits += 1
        name = f"team-{team}"
        key = f"desired/team/{name}"
        found = self.store.get(key)
        policy = {"deadline": float(self.edits)} if good else {"deadline": -1.0}
        text = team_text(name, policy=policy)
        self.store.put(key, text, found.version if found else ABSENT)

    @rule(index=st.integers(0, 2), troubles=st.lists(st.sampled_from(Trouble), max_size=4))
    def refresh(self, index: int, troubles: list[Trouble]) -> None:
        self.actors[index].objects.troubles = deque(troubles)
        self.actors[index].refresh()
        self.actors[index].objects.troubles.clear()

    @rule(index=st.integers(0, 2), troubles=st.lists(st.sampled_from(Trouble), max_size=8))
    def accept(self, index: int, troubles: list[Trouble]) -> None:
        self.actors[index].objects.troubles = deque(troubles)
        self.actors[index].accept()
        self.actors[index].objects.troubles.clear()

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0]), paused=st.sampled_from([None, 0, 1, 2]))
    def time_passes(self, seconds: float, paused: int | None) -> None:
        """Time passes; the clock of a paused actor stands still, the worst case for a lease."""
        for index, actor in enumerate(self.actors):
            if index != paused:
                actor.now += seconds

    @invariant()
    def the_head_only_rises_and_is_whole(self) -> None:
        stored = self.store.get(HEAD_KEY)
        if stored is None:
            return
        head = parse_head(stored.value)
        assert head.generation >= self.generations[-1], "the generation went back"
        same = self.in_force.setdefault(head.generation, head.nonce)
        assert same == head.nonce, "two heads have one generation"
        self.generations.append(head.generation)
        for name, digest in head.objects.items():
            accepted = self.store.get(OBJECT_PREFIX + digest)
            assert accepted is not None, "the head names an object that is not there"
            if name != "root":
                deadline = load_team(accepted.value).policy.deadline
                assert deadline is None or deadline > 0, "a faulty edit is in force"

    def teardown(self) -> None:
        """Once trouble is over, somebody takes the lease and brings the last good edits in."""
        for _ in range(3):
            for actor in self.actors:
                actor.now += 6.0
                actor.refresh()
                actor.accept()
        head = self.store.get(HEAD_KEY)
        assert head is not None, "nobody accepted anything"
        self.the_head_only_rises_and_is_whole()


class TestAcceptProtocol(unittest.TestCase):
    def test_histories_with_faults(self) -> None:
        run_state_machine_as_test(
            AcceptHistory, settings=settings(max_examples=50, stateful_step_count=30)
        )

    def test_a_holder_paused_past_its_lease_changes_nothing(self) -> None:
        store = ObjectStore()
        store.put("desired/root", root_text(), ABSENT)
        old, new = Actor("old", store), Actor("new", store)
        old.refresh()
        anyio.run(old.acceptor.start)
        new.refresh()
        new.now += 6.0
        new.refresh()
        new.accept()
        before = store.get(HEAD_KEY)
        store.put("desired/team/bodas", team_text("bodas"), ABSENT)
        # The old holder's clock stood still: it still believes that it holds the lease.
        self.assertTrue(old.lease.held())
        stale = parse_head(before.value if before else "")
        with self.assertRaises(PlatformError):
            anyio.run(old.acceptor._move_head, stale, ABSENT)
        self.assertEqual(store.get(HEAD_KEY), before)

    def test_a_lost_answer_is_recognised_by_its_nonce(self) -> None:
        store = ObjectStore()
        store.put("desired/root", root_text(), ABSENT)
        actor = Actor("keeper", store)
        actor.objects.troubles = deque([Trouble.NONE, Trouble.ANSWER_LOST])
        actor.refresh()
        self.assertTrue(actor.lease.held())
