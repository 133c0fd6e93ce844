"""One answer tells one gateway of a limit, and all are to know soon; so with its end.

In virtual time, over a network that loses and delays datagrams.
"""

from __future__ import annotations

import random
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.stated_limits import LimitReport
from lotushill.availability.stated_limits import StatedLimits
from lotushill.event_log import EventLog
from lotushill.limits.limit_gossip import LimitGossip
from lotushill.links.limit_messages import LimitNews
from lotushill.links.limit_messages import LimitState

if TYPE_CHECKING:
    from collections.abc import Callable

TICK = 0.05
STEP = 0.01
HEARTBEAT = 1.2
LOSS = 0.1


@dataclass
class Gateway:
    """One gateway: what it believes, its keeper, and when it last looked."""

    limits: StatedLimits
    keeper: LimitGossip
    ticks_at: float


class Gateways:
    """Gateways that tell each other of limits."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(1)
        self.loss = LOSS
        self.datagrams = 0
        self._under_way: list[tuple[float, Callable[[], None]]] = []
        self.all: list[Gateway] = []
        for _ in range(count):
            self.join()

    def join(self) -> None:
        number, limits = len(self.all), StatedLimits()
        keeper = LimitGossip(
            f"gw-{number}",
            limits,
            lambda news: self._tell(number, news),
            lambda _: None,
            EventLog("gw", lambda _: None),
            random.Random(number),
            lambda: self.now,
        )
        self.all.append(Gateway(limits, keeper, self.now + self.rng.uniform(0.0, TICK)))

    def _tell(self, sender: int, news: LimitNews) -> None:
        for number, gateway in enumerate(self.all):
            if number == sender:
                continue
            self.datagrams += 1
            if self.rng.random() >= self.loss:
                arrives = self.now + self.rng.uniform(0.001, 0.02)
                receive = gateway.keeper.receive
                self._under_way.append((arrives, lambda receive=receive: receive(news)))  # type: ignore[misc]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP
            due = [call for at, call in self._under_way if at <= self.now]
            self._under_way = [item for item in self._under_way if item[0] > self.now]
            for call in due:
                call()
            for gateway in self.all:
                if self.now >= gateway.ticks_at:
                    gateway.ticks_at += TICK
                    gateway.keeper.send_due()

    def answer(self, number: int, rate: float, engine: str = "e1") -> None:
        """Let one gateway have an answer that names a limit, or none."""
        word = LimitReport(rate, self.now - 0.01, self.now)
        self.all[number].keeper.note_answer(engine, word)

    def rates(self, engine: str = "e1") -> set[float]:
        """Return what the gateways believe."""
        return {gateway.limits.rate(engine) for gateway in self.all}


class TestLimitKeeper(unittest.TestCase):
    def test_all_know_within_a_heartbeat_of_a_limit_another_one_and_its_end(self) -> None:
        for count in (2, 9, 81):
            with self.subTest(count=count):
                fleet = Gateways(count)
                for number, rate in enumerate((1.0, 4.0, 0.2, NO_LIMIT)):
                    fleet.answer(number % count, rate)
                    fleet.run(HEARTBEAT)
                    self.assertEqual({rate}, fleet.rates())

    def test_it_costs_no_more_where_all_are_answered_at_once(self) -> None:
        fleet = Gateways(81)
        for number in range(81):
            fleet.answer(number, 1.0)
        fleet.run(4.0)
        self.assertLess(fleet.datagrams / 81, 0.15 * 81 + 60)

    def test_among_hundreds_of_limits_what_is_new_is_told_soon_by_few(self) -> None:
        """Each told sixteen drawn of all, whatever it heard: 81 gateways without end."""
        fleet = Gateways(81)
        for engine in range(300):
            for number in range(81):
                fleet.answer(number, 1.0, f"e{engine}")
        fleet.run(20.0)
        before = fleet.datagrams
        fleet.run(20.0)
        self.assertLess((fleet.datagrams - before) / 20.0, 4 * 81)
        fleet.answer(7, 0.2, "e123")
        fleet.run(HEARTBEAT)
        self.assertEqual({0.2}, fleet.rates("e123"))

    def test_one_that_joins_later_hears_of_it(self) -> None:
        fleet = Gateways(9)
        fleet.loss = 0.0
        fleet.answer(0, 1.0)
        fleet.run(20.0)
        fleet.join()
        fleet.run(6.4)
        self.assertEqual({1.0}, fleet.rates())

    def test_after_a_cut_the_newest_word_holds_on_both_sides(self) -> None:
        fleet = Gateways(9)
        fleet.answer(0, 1.0)
        fleet.run(HEARTBEAT)
        fleet.loss = 1.0
        fleet.answer(1, NO_LIMIT)
        fleet.run(5.0)
        self.assertEqual({1.0, NO_LIMIT}, fleet.rates())
        fleet.loss = LOSS
        fleet.run(3.2 + 2 * HEARTBEAT)
        self.assertEqual({NO_LIMIT}, fleet.rates())

    def test_news_that_no_gateway_can_have_sent_change_nothing(self) -> None:
        fleet = Gateways(1)
        odd = (
            LimitState("e1", float("nan"), 1.0, 0.5),
            LimitState("e1", -1.0, 1.0, 0.5),
            LimitState("e1", 1.0, 0.5, 1.0),
            LimitState("e1", 1.0, 1.0, -5.0),
            LimitState("e1", 1.0, float("inf"), float("nan")),
        )
        for state in odd:
            fleet.all[0].keeper.receive(LimitNews("gw-9", (state,), True))
        self.assertEqual({NO_LIMIT}, fleet.rates())
