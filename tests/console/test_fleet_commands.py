from __future__ import annotations

import unittest
from typing import Any

from lotushill.console.fleet_commands import duty_lines
from lotushill.console.fleet_commands import limit_lines
from lotushill.console.fleet_commands import pace_lines
from lotushill.console.fleet_commands import share_lines
from lotushill.console.fleet_commands import waiting_lines

DUTY_STATUS: dict[str, Any] = {
    "holder": "gw-1",
    "held_here": True,
    "token": 84,
    "seconds": 61.0,
    "settled_window": 7,
    "unreported": [7],
    "orders": {"llm/east": {"ordinary": 2, "reclaimable": 21}},
}


class TestDutyLines(unittest.TestCase):
    def test_one_line_names_the_holder(self) -> None:
        rows = {
            "gw-1": {"duties": DUTY_STATUS},
            "gw-2": {"duties": {**DUTY_STATUS, "held_here": False}},
        }
        lines = duty_lines(rows)
        self.assertIn("held by gw-1 for 61 s with token 84", lines[0])
        self.assertIn("llm/east: 2 engines, 21 reclaimable", lines[1])
        self.assertEqual(len(lines), 2)

    def test_two_holders_are_both_listed(self) -> None:
        rows = {name: {"duties": {**DUTY_STATUS, "orders": {}}} for name in ("gw-1", "gw-2")}
        self.assertEqual(len(duty_lines(rows)), 2)

    def test_missing_holder_is_stated_and_fleet_without_duties_has_no_line(self) -> None:
        rows = {"gw-1": {"duties": {**DUTY_STATUS, "held_here": False}}}
        self.assertEqual(duty_lines(rows), ["duties: no gateway reports that it holds them"])
        self.assertEqual(duty_lines({"gw-1": {"duties": None}, "gw-2": None}), [])


class TestLimitLines(unittest.TestCase):
    def test_each_limit_is_listed_with_the_number_of_gateways_that_know_it(self) -> None:
        def row(**limited: float) -> dict[str, Any]:
            return {"upstreams": {"limited": limited}}

        rows = {"a": row(e1=1.0), "b": row(e1=1.0, e2=0.5), "c": row(e1=4.0), "silent": None}
        self.assertEqual(
            [
                "limit: e1 accepts 1 requests/s from all gateways, known to 2 of 3 gateways",
                "limit: e1 accepts 4 requests/s from all gateways, known to 1 of 3 gateways",
                "limit: e2 accepts 0.5 requests/s from all gateways, known to 1 of 3 gateways",
            ],
            limit_lines(rows),
        )

    def test_each_deviating_pace_is_listed_with_the_number_of_gateways_that_report_it(self) -> None:
        rows: dict[str, dict[str, Any] | None] = {
            "a": {"upstreams": {"paces": {"e1": [2.1, 1.0]}}},
            "b": {"upstreams": {"paces": {"e1": [2.3, 1.0], "app": [1.0, 1.8]}}},
            "old": {"upstreams": {}},
            "silent": None,
        }
        self.assertEqual(
            [
                "pace: app takes 1.00 times the median of its service for a step, and for "
                "prefill a further factor of 1.80, reported by 1 of 3 gateways",
                "pace: e1 takes 2.20 times the median of its service for a step, and for "
                "prefill a further factor of 1.00, reported by 2 of 3 gateways",
            ],
            pace_lines(rows),
        )

    def test_without_limits_there_are_no_lines(self) -> None:
        self.assertEqual([], limit_lines({"a": {"upstreams": {}}, "silent": None}))


class TestShareLines(unittest.TestCase):
    def test_a_team_over_its_share_is_listed_once(self) -> None:
        def row(times: float) -> dict[str, Any]:
            return {"over_share": [{"service": "llm", "tier": 1, "team": "bakery", "times": times}]}

        rows: dict[str, dict[str, Any] | None] = {
            "a": row(2.0),
            "b": row(3.5),
            "c": {"over_share": []},
            "silent": None,
        }
        self.assertEqual(
            [
                "share: bakery has used up to 3.5 times the mean of the other teams of llm, tier "
                "1, reported by 2 gateways"
            ],
            share_lines(rows),
        )


class TestWaitingLines(unittest.TestCase):
    def test_queued_requests_are_summed_over_all_gateways(self) -> None:
        rows = {
            "a": {"waiting": {"tiers": {"llm": {"0": 2, "2": 5}}}},
            "b": {"waiting": {"tiers": {"llm": {"2": 1}}}},
            "old": {},
            "silent": None,
        }
        self.assertEqual(["queued requests: llm 8 (tier 0: 2, tier 2: 6)"], waiting_lines(rows))
        self.assertEqual([], waiting_lines({"a": {"waiting": {"tiers": {}}}}))
