from __future__ import annotations

import json
import select
import subprocess
import sys
import time
import unittest

from lotushill.event_log import EventLog
from lotushill.event_log import shorten
from lotushill.journal import Journal


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

    def test_a_long_id_of_a_caller_is_shortened_in_lines_and_in_the_journal(self) -> None:
        """Ids and hosts of the length of a whole head were kept for each of the last requests."""
        journal = Journal()
        log = EventLog("node", self.lines.append, lambda: self.now, journal)
        long_id = "a" * 16_000
        log.note("request.turned_away", request=long_id, host="h" * 16_000, error="e" * 1_000)
        line = json.loads(self.lines[0])
        self.assertEqual((shorten(long_id), shorten("h" * 300)), (line["request"], line["host"]))
        self.assertEqual(1_000, len(line["error"]))
        (event,) = journal.events_of(shorten(long_id))
        self.assertLess(len(json.dumps(event)), 2_000)

    def test_the_last_line_is_written_although_the_rate_is_exceeded(self) -> None:
        for _ in range(5000):
            self.log.note("flood")
        self.log.note_last("process.stopped", why="SIGTERM")
        self.assertEqual("process.stopped", json.loads(self.lines[-1])["event"])

    def test_the_last_line_waits_for_a_reader_that_is_behind(self) -> None:
        """The last line was lost where the pipe was full of earlier ones."""
        program = (
            "from lotushill import event_log\n"
            "event_log._MAX_FLUSH_SECONDS = 60.0\n"
            "log = event_log.EventLog('gw')\n"
            "for size in [1000] * 100 + [0] * 300: log.note('flood', text='x' * size)\n"
            "log.note_last('process.stopped')\n"
        )
        with subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE) as process:
            assert process.stdout is not None
            select.select((process.stdout,), (), ())
            # Long enough for the pipe to fill up; a shorter time makes the test easier to pass.
            time.sleep(0.3)
            *_, last = process.stdout.read().splitlines()
        self.assertEqual("process.stopped", json.loads(last)["event"])
