"""Exchange of promises between schedulers over a network that loses datagrams, in simulated time.

Each scheduler refuses some long requests in a burst; their callers return to any scheduler at the
promised time. Checks how many of them find their place, and that the fleet promises hardly more
than becomes available.
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

TICK_SECONDS = 0.05
DELAY_SECONDS = 0.02
START_RATE = 120.0
"""Requests per second that start in the whole fleet."""
REFUSAL_RATE = 90.0
"""Requests per second that are refused in the whole fleet."""
BURST_SECONDS = 1.0
TIME_LEFT_SECONDS = 9.0


@dataclass(frozen=True)
class OtherScheduler:
    """The part of another scheduler's state that the exchange uses."""

    address: str


@dataclass
class Network:
    """Schedulers that track all started requests and lose some of each other's promises."""

    count: int
    loss: float
    now: float = 2.0
    rng: random.Random = field(default_factory=lambda: random.Random(3))
    in_transit: list[tuple[float, int, ReturnNews]] = field(default_factory=list)
    datagrams: int = 0
    partitioned: set[int] = field(default_factory=set)
    """Schedulers on the far side of a partition from the others."""
    not_schedulers: set[int] = field(default_factory=set)
    """Gateways that are no schedulers yet."""

    def __post_init__(self) -> None:
        self.returns = [ReturnPromises() for _ in range(self.count)]
        self.gossips = [
            ReturnGossip(f"s{n}", self.returns[n], self._others(n), self._send(n), self._clock)  # type: ignore[arg-type]
            for n in range(self.count)
        ]
        for item in self.returns:
            for number in range(int(2 * START_RATE)):
                item.start_rate.note("llm", 1, number / START_RATE)

    def _clock(self) -> float:
        return self.now

    def _others(self, own: int) -> object:
        class Schedulers:
            def others(_) -> list[OtherScheduler]:  # noqa: N805
                others = {*range(self.count)} - {own} - self.not_schedulers
                return [OtherScheduler(str(n)) for n in sorted(others)]

        return Schedulers()

    def _send(self, own: int) -> object:
        def send(news: ReturnNews, address: str) -> None:
            self.datagrams += 1
            to = int(address)
            lost = self.rng.random() < self.loss or (own in self.partitioned) != (
                to in self.partitioned
            )
            if not lost:
                self.in_transit.append((self.now + DELAY_SECONDS, to, news))

        return send

    def run(self, seconds: float) -> None:
        ends = self.now + seconds
        while self.now < ends:
            self.now += TICK_SECONDS
            due = [item for item in self.in_transit if item[0] <= self.now]
            self.in_transit = [item for item in self.in_transit if item[0] > self.now]
            for _, to, update in due:
                self.gossips[to].receive(update)
            for item, gossip in zip(self.returns, self.gossips):
                item.start_rate.note("llm", 1, self.now)
                for _ in range(int(START_RATE * TICK_SECONDS) - 1):
                    item.start_rate.note("llm", 1, self.now)
                gossip.send_due()

    def refuse_burst(self) -> dict[int, tuple[float, int]]:
        """Refuse requests at random schedulers; return the retry time and promiser of each."""
        due: dict[int, tuple[float, int]] = {}
        for number in range(1, int(REFUSAL_RATE * BURST_SECONDS) + 1):
            scheduler = self.rng.choice(sorted({*range(self.count)} - self.not_schedulers))
            ask = Requester(number, "llm", 1, self.now, TIME_LEFT_SECONDS)
            pause = self.returns[scheduler].retry_after(ask, self.rng.random(), self.now)
            due[number] = (self.now + pause, scheduler)
            if number % max(1, int(REFUSAL_RATE * TICK_SECONDS)) == 0:
                self.run(TICK_SECONDS)
        return due

    def return_callers(
        self, due: dict[int, tuple[float, int]], stopped: frozenset[int] = frozenset()
    ) -> int:
        """Let all callers return on time to running schedulers; return how many have a place."""
        running = [number for number in range(self.count) if number not in stopped]
        placed = 0
        for caller, (at, _) in sorted(due.items(), key=lambda item: item[1][0]):
            if at > self.now:
                self.run(at - self.now)
            to = self.rng.choice(running)
            if self.returns[to].has_due_promise(caller, self.now):
                placed += self.returns[to].note_placed(caller, self.now)
        return placed


class TestReturnGossip(unittest.TestCase):
    def test_nearly_all_callers_find_their_place_at_any_scheduler(self) -> None:
        for count in (1, 2, 8, 20):
            for loss in (0.0, 0.1):
                with self.subTest(schedulers=count, loss=loss):
                    network = Network(count, loss)
                    due = network.refuse_burst()
                    placed = network.return_callers(due)
                    self.assertGreater(placed / len(due), 0.9)

    def test_fleet_promises_hardly_more_than_becomes_available(self) -> None:
        for count in (1, 8, 20):
            with self.subTest(schedulers=count):
                network = Network(count, 0.02)
                due = network.refuse_burst()
                by_half_second = Counter(int(at * 2) for at, _ in due.values())
                most = max(by_half_second.values())
                self.assertLess(most, 1.6 * RESERVED_FRACTION * START_RATE / 2 + 2)

    def test_promises_of_a_killed_scheduler_are_kept_by_the_others(self) -> None:
        network = Network(8, 0.02)
        due = network.refuse_burst()
        network.run(0.15)
        promised_by_killed = {caller: item for caller, item in due.items() if item[1] == 0}
        placed = network.return_callers(promised_by_killed, frozenset({0}))
        self.assertGreaterEqual(placed, 0.9 * len(promised_by_killed))

    def test_a_gateway_that_becomes_a_scheduler_learns_of_open_promises(self) -> None:
        for stopped in (frozenset[int](), frozenset({0})):
            with self.subTest(stopped=stopped):
                network = Network(4, 0.0)
                network.not_schedulers = {3}
                due = network.refuse_burst()
                network.run(0.3)
                network.not_schedulers = set(stopped)
                network.run(0.3)
                left = {caller: at for caller, (at, _) in due.items() if at > network.now}
                known = [c for c, at in left.items() if network.returns[3].has_due_promise(c, at)]
                self.assertGreater(len(left), 20)
                self.assertGreaterEqual(len(known), 0.95 * len(left))

    def test_partitioned_scheduler_loses_only_its_own_promises(self) -> None:
        network = Network(8, 0.02)
        network.partitioned = {0}
        due = network.refuse_burst()
        others = {caller: item for caller, item in due.items() if item[1] != 0}
        placed = network.return_callers(others, frozenset({0}))
        self.assertGreater(placed, 0.9 * len(others))

    def test_updates_are_few_and_end(self) -> None:
        network = Network(8, 0.0)
        network.refuse_burst()
        network.run(6.0)
        sent = network.datagrams
        self.assertLess(sent, 8 * 7 * 60)
        network.run(2.0)
        self.assertEqual(sent, network.datagrams)
