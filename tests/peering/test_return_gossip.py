"""Promises told among schedulers over a network that loses datagrams, in virtual time.

Each scheduler refuses some long requests in a burst; their callers come back to any scheduler, as
they were told. How many of them find their place, and how far the fleet promises more than comes.
"""

from __future__ import annotations

import random
import unittest
from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.peering.return_gossip import ReturnGossip
from lotushill.returns.promise import Requester
from lotushill.returns.promises import ReturnPromises
from lotushill.returns.schedule import RESERVED_FRACTION

if TYPE_CHECKING:
    from lotushill.links.return_messages import ReturnNews

TICK = 0.05
DELAY = 0.02
ROOM = 120.0
"""Requests a second that begin in the whole fleet."""
REFUSED = 90.0
"""Requests a second that are refused in it."""
BURST = 1.0
TIME_LEFT = 9.0


@dataclass(frozen=True)
class Other:
    """What a keeper has to know of another scheduler."""

    address: str


@dataclass
class Network:
    """Schedulers that all hear of what begins, and lose some of each other's promises."""

    count: int
    loss: float
    now: float = 2.0
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    under_way: list[tuple[float, int, ReturnNews]] = field(default_factory=list)
    datagrams: int = 0
    cut: set[int] = field(default_factory=set)
    """Schedulers that the others do not hear."""

    def __post_init__(self) -> None:
        self.returns = [ReturnPromises() for _ in range(self.count)]
        self.keepers = [
            ReturnGossip(f"s{n}", self.returns[n], self._others(n), self._send(n), self._clock)  # type: ignore[arg-type]
            for n in range(self.count)
        ]
        for item in self.returns:
            for number in range(int(2 * ROOM)):
                item.start_rate.note("llm", 1, number / ROOM)

    def _clock(self) -> float:
        return self.now

    def _others(self, own: int) -> object:
        class Schedulers:
            def others(_) -> list[Other]:  # noqa: N805
                return [Other(str(n)) for n in range(self.count) if n != own]

        return Schedulers()

    def _send(self, own: int) -> object:
        def send(news: ReturnNews, address: str) -> None:
            self.datagrams += 1
            to = int(address)
            lost = self.rng.random() < self.loss or (own in self.cut) != (to in self.cut)
            if not lost:
                self.under_way.append((self.now + DELAY, to, news))

        return send

    def pass_time(self, seconds: float) -> None:
        ends = self.now + seconds
        while self.now < ends:
            self.now += TICK
            due = [item for item in self.under_way if item[0] <= self.now]
            self.under_way = [item for item in self.under_way if item[0] > self.now]
            for _, to, news in due:
                self.keepers[to].receive(news)
            for item, keeper in zip(self.returns, self.keepers):
                item.start_rate.note("llm", 1, self.now)
                for _ in range(int(ROOM * TICK) - 1):
                    item.start_rate.note("llm", 1, self.now)
                keeper.send_due()

    def refuse_burst(self) -> dict[int, tuple[float, int]]:
        """Refuse some at schedulers by turns; return when each is due, and who promised."""
        due: dict[int, tuple[float, int]] = {}
        for number in range(1, int(REFUSED * BURST) + 1):
            at = self.rng.randrange(self.count)
            ask = Requester(number, "llm", 1, self.now, TIME_LEFT)
            pause = self.returns[at].retry_after(ask, self.rng.random(), self.now)
            due[number] = (self.now + pause, at)
            if number % max(1, int(REFUSED * TICK)) == 0:
                self.pass_time(TICK)
        return due

    def come_back(
        self, due: dict[int, tuple[float, int]], away: frozenset[int] = frozenset()
    ) -> int:
        """Let all return as told to schedulers that are there; return how many have a place."""
        there = [number for number in range(self.count) if number not in away]
        found = 0
        for caller, (at, _) in sorted(due.items(), key=lambda item: item[1][0]):
            if at > self.now:
                self.pass_time(at - self.now)
            to = self.rng.choice(there)
            if self.returns[to].has_place(caller, self.now):
                found += self.returns[to].note_placed(caller, self.now)
        return found


class TestReturnGossip(unittest.TestCase):
    def test_nearly_all_find_their_place_at_another_scheduler(self) -> None:
        for count in (1, 2, 8, 20):
            for loss in (0.0, 0.1):
                with self.subTest(schedulers=count, loss=loss):
                    network = Network(count, loss)
                    due = network.refuse_burst()
                    found = network.come_back(due)
                    self.assertGreater(found / len(due), 0.9)

    def test_the_fleet_promises_hardly_more_than_comes(self) -> None:
        for count in (1, 8, 20):
            with self.subTest(schedulers=count):
                network = Network(count, 0.02)
                due = network.refuse_burst()
                by_half_second = Counter(int(at * 2) for at, _ in due.values())
                most = max(by_half_second.values())
                self.assertLess(most, 1.6 * RESERVED_FRACTION * ROOM / 2 + 2)

    def test_what_a_killed_scheduler_promised_is_kept_by_the_others(self) -> None:
        network = Network(8, 0.02)
        due = network.refuse_burst()
        network.pass_time(0.15)
        theirs = {caller: item for caller, item in due.items() if item[1] == 0}
        found = network.come_back(theirs, frozenset({0}))
        self.assertGreaterEqual(found, 0.9 * len(theirs))

    def test_a_scheduler_that_is_cut_off_costs_its_own_promises_alone(self) -> None:
        network = Network(8, 0.02)
        network.cut = {0}
        due = network.refuse_burst()
        others = {caller: item for caller, item in due.items() if item[1] != 0}
        found = network.come_back(others, frozenset({0}))
        self.assertGreater(found, 0.9 * len(others))

    def test_news_are_few_and_end(self) -> None:
        network = Network(8, 0.0)
        network.refuse_burst()
        network.pass_time(6.0)
        sent = network.datagrams
        self.assertLess(sent, 8 * 7 * 60)
        network.pass_time(2.0)
        self.assertEqual(sent, network.datagrams)
