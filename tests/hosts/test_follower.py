"""Followers: a generation only rises, from whatever source, whole or not at all."""

from __future__ import annotations

import random
import unittest
from typing import TYPE_CHECKING

import anyio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from lotushill.contracts.generation import HEAD_KEY
from lotushill.dispatch.dispatcher import Dispatcher
from lotushill.dispatch.fallback import Fallback
from lotushill.dispatch.options import CellOptions
from lotushill.hosts.follower import Follower
from lotushill.hosts.upstream_watch import UpstreamWatch
from lotushill.links.messages import Pull
from lotushill.links.messages import Pulled
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.objects import ABSENT
from lotushill.standin.object_store import ObjectStore
from tests.contracts.documents import root_text
from tests.contracts.documents import team_text
from tests.hosts.network import Network
from tests.keeper.test_lease_protocol import Actor
from tests.objectapi.fake_objects import FakeObjects
from tests.objectapi.fake_objects import Trouble

if TYPE_CHECKING:
    from lotushill.links.codec import Message

FOLLOWERS = 3


def no_options(pool: str) -> CellOptions:
    """Return the options of a cell."""
    return CellOptions()


class FollowHistory(RuleBasedStateMachine):
    """Edits are accepted while followers read, pull, miss answers and start again."""

    @initialize()
    def start(self) -> None:
        self.store = ObjectStore()
        self.keeper = Actor("keeper", self.store)
        self.store.put("desired/root", root_text(), ABSENT)
        self.edits = 0
        self.restarts = 0
        self.network = Network(FOLLOWERS)
        self.network.run(3.0)
        self.outbox: list[tuple[int, str, Message]] = []
        self.late: list[tuple[int, Pulled]] = []
        self.seen = [0] * FOLLOWERS
        self.followers = [self.make(index) for index in range(FOLLOWERS)]
        self.accept()

    def make(self, index: int) -> Follower:
        membership = self.network.members[f"entry-{index}"]

        def post(peer: str, message: Message) -> None:
            self.outbox.append((index, peer, message))

        def announce(generation: int) -> None:
            packets = membership.announce_generation(generation)
            self.network.send(membership.own.name, packets)

        objects = FakeObjects(self.store)
        watch = UpstreamWatch(
            objects, Dispatcher(no_options), Fallback(), "region", random.Random(1)
        )
        return Follower(objects, membership, post, announce, watch, random.Random(index))

    @rule(team=st.integers(0, 2))
    def accept(self, team: int = 0) -> None:
        self.edits += 1
        key = f"desired/team/team-{team}"
        found = self.store.get(key)
        text = team_text(f"team-{team}", policy={"deadline": float(self.edits)})
        self.store.put(key, text, found.version if found else ABSENT)
        self.keeper.now += 1.0
        self.keeper.refresh()
        self.keeper.accept()

    @rule(index=st.integers(0, FOLLOWERS - 1), fails_at=st.integers(0, 4))
    def read_platform(self, index: int, fails_at: int) -> None:
        follower = self.followers[index]
        objects = FakeObjects(self.store)
        objects.troubles.extend([Trouble.NONE] * fails_at + [Trouble.UNAVAILABLE])
        follower._objects = objects
        head = self.store.get(HEAD_KEY)
        assert head is not None
        try:
            anyio.run(follower._fetch, head.value)
        except UnavailableError:
            pass

    @rule()
    def heartbeats(self) -> None:
        self.network.run(1.0)
        for follower in self.followers:
            follower.hear(self.network.now)

    @rule(lose=st.booleans(), delay=st.booleans())
    def deliver(self, lose: bool, delay: bool) -> None:
        outbox, self.outbox = self.outbox, []
        for sender, peer, message in outbox:
            assert isinstance(message, Pull)
            answer = self.followers[int(peer.removeprefix("entry-"))].answer_pull(message)
            if delay:
                self.late.append((sender, answer))
            elif not lose:
                self.followers[sender].take_pulled(answer)

    @rule()
    def late_answers_arrive(self) -> None:
        late, self.late = self.late, []
        for index, answer in late:
            self.followers[index].take_pulled(answer)

    @rule(index=st.integers(0, FOLLOWERS - 1))
    def restart(self, index: int) -> None:
        self.restarts += 1
        self.network.add(index, incarnation=1000 * self.restarts)
        self.followers[index] = self.make(index)
        self.seen[index] = 0

    @invariant()
    def generations_only_rise(self) -> None:
        for index, follower in enumerate(self.followers):
            assert follower.generation >= self.seen[index], "a follower went back"
            self.seen[index] = follower.generation

    @invariant()
    def nothing_is_in_force_that_was_not_accepted(self) -> None:
        head = self.store.get(HEAD_KEY)
        assert head is not None
        for follower in self.followers:
            assert follower.generation <= self.edits
            if follower.book:
                assert all(held.contracts for held in follower.book.teams.values())

    def teardown(self) -> None:
        """All that can be reached get what was accepted, from peers alone."""
        self.read_platform(0, fails_at=99)
        for _ in range(6):
            self.network.run(2.0)
            for follower in self.followers:
                follower.hear(self.network.now)
            self.deliver(lose=False, delay=False)
        generations = {follower.generation for follower in self.followers}
        assert generations == {self.followers[0].generation}, generations
        assert self.followers[0].generation > 0


class TestFollower(unittest.TestCase):
    def test_histories(self) -> None:
        run_state_machine_as_test(
            FollowHistory, settings=settings(max_examples=25, stateful_step_count=20)
        )

    def test_a_whole_older_answer_that_comes_late_changes_nothing(self) -> None:
        history = FollowHistory()
        history.start()
        source, follower = history.followers[0], history.followers[1]
        history.read_platform(0, fails_at=99)
        older = source.answer_pull(Pull(0, ()))
        history.accept(1)
        history.read_platform(0, fails_at=99)
        newer = source.answer_pull(Pull(0, ()))
        follower.take_pulled(newer)
        follower.take_pulled(older)
        self.assertEqual(follower.generation, newer.generation)
        self.assertGreater(newer.generation, older.generation)
