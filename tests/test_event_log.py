from __future__ import annotations

import json
import unittest

from lotushill.event_log import EventLog


class TestEventLog(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.now = 0.0
        self.log = EventLog("node", self.lines.append, lambda: self.now)

    def test_a_line_is_one_json_object_with_its_fields(self) -> None:
        self.log.note("thing.done", request="r1", count=2)
        line = json.loads(self.lines[0])
        self.assertEqual(
            ("thing.done", "node", "r1", 2),
            tuple(line[name] for name in ("event", "node", "request", "count")),
        )

    def test_lines_above_the_rate_are_dropped_and_counted_in_the_next_line(self) -> None:
        for _ in range(5000):
            self.log.note("flood")
        self.assertLess(len(self.lines), 1000)
        missing = 5000 - len(self.lines)
        self.now += 10.0
        self.log.note("after")
        self.assertEqual(missing, json.loads(self.lines[-1])["left_out"])

    def test_the_last_line_is_written_although_the_rate_is_exceeded(self) -> None:
        for _ in range(5000):
            self.log.note("flood")
        self.log.note_last("process.stopped", why="SIGTERM")
        self.assertEqual("process.stopped", json.loads(self.lines[-1])["event"])
