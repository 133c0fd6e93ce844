from __future__ import annotations

import unittest

from lotushill.event_log import EventLog
from lotushill.journal import Journal


class TestJournal(unittest.TestCase):
    def test_the_oldest_request_is_evicted(self) -> None:
        journal = Journal(max_requests=2)
        for name in ("a", "b", "a", "c"):
            journal.add(name, {"event": name})
        self.assertEqual([], journal.events_of("a"))
        self.assertEqual([{"event": "b"}], journal.events_of("b"))

    def test_events_that_the_log_drops_are_stored(self) -> None:
        journal = Journal()
        log = EventLog("gw", lambda _: None, clock=lambda: 1.0, journal=journal)
        for number in range(2000):
            log.note("request.ended", request=f"r{number}")
        self.assertGreater(log.total_left_out, 0)
        (event,) = journal.events_of("r1999")
        self.assertEqual(("request.ended", "gw"), (event["event"], event["node"]))

    def test_the_events_of_one_request_are_limited(self) -> None:
        journal = Journal()
        for number in range(1000):
            journal.add("r", {"n": number})
        self.assertLess(len(journal.events_of("r")), 100)
