from __future__ import annotations

import json
import unittest

from lotushill.event_log import EventLog
from lotushill.links.messages import MemberPhase
from lotushill.links.messages import MemberState
from lotushill.membership.roster import MemberChange
from lotushill.peering.member_log import MemberLog


def change(index: int, phase: MemberPhase = MemberPhase.ALIVE) -> MemberChange:
    return MemberChange(MemberState(f"gw-{index}", f"10.0.0.{index}:1", "h", "r", 1, phase), None)


class TestMemberLog(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.log = MemberLog(EventLog("gw", self.lines.append))

    def events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.lines]

    def test_few_changes_have_a_line_each(self) -> None:
        for index in range(3):
            self.log.note(change(index), 10.0 + index * 0.1)
        self.assertEqual(["member.changed"] * 3, self.events())

    def test_rolling_restart_of_a_large_fleet_writes_few_lines(self) -> None:
        for index in range(390):
            phase = MemberPhase.LEAVING if index % 2 else MemberPhase.ALIVE
            self.log.note(change(index, phase), index * 0.05)
        self.log.flush(30.0)
        self.assertLessEqual(len(self.lines), 5 * 20 + 1)
        records = [json.loads(line) for line in self.lines]
        counted = sum(line.get("count", 1) for line in records)
        self.assertEqual(390, counted)

    def test_summary_names_the_latest_members(self) -> None:
        for index in range(20):
            self.log.note(change(index), 10.0)
        self.log.flush(11.5)
        last = json.loads(self.lines[-1])
        self.assertEqual("members.changed", last["event"])
        self.assertEqual(16, last["count"])
        self.assertEqual(16, last["alive"])
        self.assertEqual("gw-19:alive", last["latest"][-1])
