"""A path is checked if nothing arrives while requests wait, and neither often nor after a lag."""

from __future__ import annotations

import unittest

from lotushill.relaying.silence_watch import SilenceWatch

TICK_SECONDS = 0.05
START = 100.0


def checks(received_at: float, waiting_since: float | None, seconds: float) -> list[float]:
    """Return the times, from the start, of the checks that are due within some seconds."""
    watch = SilenceWatch()
    times = [START + n * TICK_SECONDS for n in range(int(seconds / TICK_SECONDS))]
    return [
        round(now - START, 2)
        for now in times
        if watch.is_check_due(received_at, waiting_since, now)
    ]


class TestSilenceWatch(unittest.TestCase):
    def test_nothing_is_checked_while_no_request_waits(self) -> None:
        self.assertEqual([], checks(START - 50.0, None, 5.0))

    def test_silence_is_checked_soon_and_then_once_a_second(self) -> None:
        due = checks(START, START, 3.0)
        self.assertLessEqual(due[0], 0.3)
        self.assertEqual(3, len(due))

    def test_bytes_of_any_upstream_postpone_the_check(self) -> None:
        watch = SilenceWatch()
        for tick in range(100):
            now = START + tick * TICK_SECONDS
            self.assertFalse(watch.is_check_due(now - 0.1, START, now))

    def test_a_process_that_was_blocked_reads_first(self) -> None:
        watch = SilenceWatch()
        watch.is_check_due(START, START, START)
        self.assertFalse(watch.is_check_due(START, START, START + 3.0))
        self.assertFalse(watch.is_check_due(START, START, START + 3.1))
