from __future__ import annotations

import unittest

from lotushill.process.metrics import Metrics


class TestMetrics(unittest.TestCase):
    def test_all_recorded_metrics_are_exported(self) -> None:
        metrics = Metrics()
        metrics.add_gauge("members", "Gateways that are alive", lambda: 3)
        metrics.add_gauge_by("streams", "Streams", "version", lambda: {"v1": 2.0, "v2": 1.0})
        metrics.record_request("llm", "given-up:reset", 0.3)
        metrics.record_attempt("llm", 1, "broken")
        metrics.record_refusal("llm", 0, "overload")
        metrics.record_rejection(404)
        metrics.record_first_event("llm", 0.3, 0.2)
        text = metrics.text().decode()
        for line in (
            'lotushill_requests_total{outcome="given-up",service="llm"} 1.0',
            'lotushill_attempts_total{end="broken",service="llm",tier="1"} 1.0',
            'lotushill_refused_total{reason="overload",service="llm",tier="0"} 1.0',
            'lotushill_turned_away_total{status="404"} 1.0',
            'lotushill_request_seconds_bucket{le="0.4",service="llm"} 1.0',
            'lotushill_prediction_ratio_bucket{le="1.2",service="llm"} 0.0',
            'lotushill_prediction_ratio_bucket{le="2.0",service="llm"} 1.0',
            "lotushill_members 3.0",
            'lotushill_streams{version="v1"} 2.0',
            'lotushill_streams{version="v2"} 1.0',
        ):
            self.assertIn(line, text)
