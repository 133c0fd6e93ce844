"""Tests that a limit stated to one gateway soon reaches all of them, and so does its end.

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

TICK_SECONDS = 0.05
STEP_SECONDS = 0.01
HEARTBEAT_SECONDS = 1.2
LOSS_PROBABILITY = 0.1


@dataclass
class Gateway:
    """One gateway: its known limits, its gossip, and the time of its next tick."""

    limits: StatedLimits
    gossip: LimitGossip
    ticks_at: float


class Gateways:
    """Gateways that exchange limits by gossip."""

    def __init__(self, count: int) -> None:
        self.now = 1000.0
        self.rng = random.Random(1)
        self.loss = LOSS_PROBABILITY
        self.datagrams = 0
        self._in_flight: list[tuple[float, Callable[[], None]]] = []
        self.all: list[Gateway] = []
        for _ in range(count):
            self.join()

    def join(self) -> None:
        number, limits = len(self.all), StatedLimits()
        gossip = LimitGossip(
            f"gw-{number}",
            limits,
            lambda update: self._broadcast(number, update),
            lambda _: None,
            EventLog("gw", lambda _: None),
            random.Random(number),
            lambda: self.now,
        )
        self.all.append(Gateway(limits, gossip, self.now + self.rng.uniform(0.0, TICK_SECONDS)))

    def _broadcast(self, sender: int, update: LimitNews) -> None:
        for number, gateway in enumerate(self.all):
            if number == sender:
                continue
            self.datagrams += 1
            if self.rng.random() >= self.loss:
                arrives = self.now + self.rng.uniform(0.001, 0.02)
                receive = gateway.gossip.receive
                self._in_flight.append((arrives, lambda receive=receive: receive(update)))  # type: ignore[misc]

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            due = [call for at, call in self._in_flight if at <= self.now]
            self._in_flight = [item for item in self._in_flight if item[0] > self.now]
            for call in due:
                call()
            for gateway in self.all:
                if self.now >= gateway.ticks_at:
                    gateway.ticks_at += TICK_SECONDS
                    gateway.gossip.send_due()

    def answer(self, number: int, rate: float, engine: str = "e1") -> None:
        """Deliver an answer to one gateway that states a limit, or none."""
        report = LimitReport(rate, self.now - 0.01, self.now)
        self.all[number].gossip.note_answer(engine, report)

    def rates(self, engine: str = "e1") -> set[float]:
        """Return the rates known to the gateways."""
        return {gateway.limits.rate(engine) for gateway in self.all}


class TestLimitGossip(unittest.TestCase):
    def test_a_limit_its_change_and_its_end_reach_all_gateways_within_a_heartbeat(self) -> None:
        for count in (2, 9, 81):
            with self.subTest(count=count):
                fleet = Gateways(count)
                for number, rate in enumerate((1.0, 4.0, 0.2, NO_LIMIT)):
                    fleet.answer(number % count, rate)
                    fleet.run(HEARTBEAT_SECONDS)
                    self.assertEqual({rate}, fleet.rates())

    def test_answers_to_all_gateways_at_once_cost_few_datagrams(self) -> None:
        fleet = Gateways(81)
        for number in range(81):
            fleet.answer(number, 1.0)
        fleet.run(4.0)
        self.assertLess(fleet.datagrams / 81, 0.15 * 81 + 60)

    def test_a_change_among_hundreds_of_limits_spreads_soon_with_few_datagrams(self) -> None:
        """None of 81 gateways may send sixteen sampled limits per interval without end, whatever it
        received.
        """
        fleet = Gateways(81)
        for engine in range(300):
            for number in range(81):
                fleet.answer(number, 1.0, f"e{engine}")
        fleet.run(20.0)
        before = fleet.datagrams
        fleet.run(20.0)
        self.assertLess((fleet.datagrams - before) / 20.0, 4 * 81)
        fleet.answer(7, 0.2, "e123")
        fleet.run(HEARTBEAT_SECONDS)
        self.assertEqual({0.2}, fleet.rates("e123"))

    def test_a_gateway_that_joins_later_receives_the_limit(self) -> None:
        fleet = Gateways(9)
        fleet.loss = 0.0
        fleet.answer(0, 1.0)
        fleet.run(20.0)
        fleet.join()
        fleet.run(6.4)
        self.assertEqual({1.0}, fleet.rates())

    def test_after_a_partition_the_newest_report_applies_on_both_sides(self) -> None:
        fleet = Gateways(9)
        fleet.answer(0, 1.0)
        fleet.run(HEARTBEAT_SECONDS)
        fleet.loss = 1.0
        fleet.answer(1, NO_LIMIT)
        fleet.run(5.0)
        self.assertEqual({1.0, NO_LIMIT}, fleet.rates())
        fleet.loss = LOSS_PROBABILITY
        fleet.run(3.2 + 2 * HEARTBEAT_SECONDS)
        self.assertEqual({NO_LIMIT}, fleet.rates())

    def test_invalid_updates_change_nothing(self) -> None:
        fleet = Gateways(1)
        odd = (
            LimitState("e1", float("nan"), 1.0, 0.5),
            LimitState("e1", -1.0, 1.0, 0.5),
            LimitState("e1", 1.0, 0.5, 1.0),
            LimitState("e1", 1.0, 1.0, -5.0),
            LimitState("e1", 1.0, float("inf"), float("nan")),
        )
        for state in odd:
            fleet.all[0].gossip.receive(LimitNews("gw-9", (state,), True))
        self.assertEqual({NO_LIMIT}, fleet.rates())
