"""Which listed incarnations have ended is told to all gateways, and forgotten if it was wrong."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from lotushill.event_log import EventLog
from lotushill.routing.upstream import Upstream
from lotushill.versions.ended_incarnations import EndedIncarnations
from lotushill.views.upstream_view import UpstreamView

if TYPE_CHECKING:
    from lotushill.links.origin_messages import EndedNews

OLD = Upstream("i-1@1", "s", "10.0.0.1:80", "z", 8, False, version="v1")
NEW = Upstream("i-1@2", "s", "10.0.0.1:80", "z", 8, False, version="v2")
_TICK_SECONDS = 0.05


class TestEndedIncarnations(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        self.is_confirmed = True
        self.sent: list[EndedNews] = []
        self.view = UpstreamView()
        self.view.replace([OLD], 1)
        self.ended = self.new()

    def new(self) -> EndedIncarnations:
        return EndedIncarnations(
            self.view,
            self.sent.append,
            lambda: self.is_confirmed,
            lambda: self.now,
            EventLog("gw", lambda _: None),
        )

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / _TICK_SECONDS)):
            self.now += _TICK_SECONDS
            self.ended.process_due()

    def test_every_gateway_learns_of_it_although_a_datagram_is_lost(self) -> None:
        self.ended.note_refused(OLD)
        self.ended.note_refused(OLD)
        self.run_for(1.0)
        self.assertEqual([(OLD.id,)] * 2, [message.upstreams for message in self.sent])
        other = self.new()
        other.receive(self.sent[1])
        self.assertTrue(other.has_ended(OLD))
        self.assertFalse(other.has_ended(NEW))

    def test_what_was_told_is_not_passed_on(self) -> None:
        self.ended.note_refused(OLD)
        self.run_for(1.0)
        other = self.new()
        other.receive(self.sent.pop())
        self.sent.clear()
        other.process_due()
        self.assertEqual([], self.sent)

    def test_it_lasts_for_as_long_as_the_store_does_not_answer(self) -> None:
        self.is_confirmed = False
        self.ended.note_refused(OLD)
        self.run_for(600.0)
        self.assertTrue(self.ended.has_ended(OLD))

    def test_it_ends_with_the_entry_of_the_next_incarnation(self) -> None:
        self.ended.note_refused(OLD)
        self.view.replace([NEW], 2)
        self.run_for(_TICK_SECONDS)
        self.assertEqual((0, False), (len(self.ended), self.ended.has_ended(NEW)))

    def test_an_entry_that_the_store_keeps_confirming_refutes_it(self) -> None:
        """A connection may be refused by the network in between."""
        self.is_confirmed = False
        self.ended.note_refused(OLD)
        self.run_for(20.0)
        self.is_confirmed = True
        self.run_for(4.0)
        self.assertTrue(self.ended.has_ended(OLD))
        self.run_for(4.0)
        self.assertFalse(self.ended.has_ended(OLD))
