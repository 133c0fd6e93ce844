"""`scripts/truncated_answers.py` finds in recorded lines which answers gateways gave up.

The lines are of a day of planned work, of a run in the tests whose memory every engine refused, and
of one whose engine sent nothing after its first event.
"""

from __future__ import annotations

import unittest
from pathlib import Path

from truncated_answers import RequestLines
from truncated_answers import causes
from truncated_answers import quantile
from truncated_answers import read
from truncated_answers import stopped_runs
from truncated_answers import summary
from truncated_answers import timeline
from truncated_answers import truncated

RECORDED = Path(__file__).with_name("truncated_answers.log").read_text(encoding="utf-8")


class TestTruncatedAnswers(unittest.TestCase):
    def setUp(self) -> None:
        self.log = read(RECORDED)

    def test_only_answers_that_the_gateway_ended_are_given_up(self) -> None:
        counted = {
            ("gateway-stop", True): 1,
            ("gateway-silence", True): 1,
            ("deadline", False): 1,
            ("client", False): 1,
            ("shutdown", False): 1,
        }
        self.assertEqual(counted, dict(causes(self.log.requests)))

    def test_answers_that_were_given_up_come_first(self) -> None:
        found = [item.request for item in truncated(self.log.requests)]
        self.assertEqual({"stopped-run", "silent-run"}, set(found[:2]))

    def test_a_stream_that_the_gateway_closed_is_given_up_whatever_its_cause(self) -> None:
        for closed_here in (True, False):
            end = {"event": "attempt.ended", "kind": "broken", "closed_here": closed_here}
            answer = {"event": "request.ended", "answer": "truncated", "cut_by": "upstream"}
            item = RequestLines("r", [(1.0, {**end}), (1.1, {**answer})])
            self.assertEqual(closed_here, item.was_given_up)

    def test_stopped_runs_by_place_with_their_pauses(self) -> None:
        found = stopped_runs(self.log.requests)
        self.assertEqual((3, 1, 1), (found.requests, found.places["target"], found.cut))
        self.assertEqual((1, 1), (len(found.pauses_ms), found.late))

    def test_the_timeline_of_a_request_has_all_its_lines(self) -> None:
        (item,) = (item for item in self.log.requests if item.request == "silent-run")
        rows = timeline(item)
        self.assertEqual("silent-run: gateway-silence, given up by the gateway", rows[0])
        self.assertEqual(1 + len(item.lines), len(rows))
        self.assertIn("SilentUpstreamError", rows[2])

    def test_the_summary_states_what_the_log_does_not_contain(self) -> None:
        self.assertIn("lines left out: 0; requests cut at exit: 9", summary(self.log)[0])

    def test_a_log_without_requests(self) -> None:
        log = read("  1.0 gw {broken\nno line\n")
        self.assertEqual([], truncated(log.requests))
        self.assertEqual(0.0, quantile(stopped_runs(log.requests).pauses_ms, 0.5))
