"""Objects and settings files that an earlier build wrote are read to the same values."""

from __future__ import annotations

import json
import unittest
from dataclasses import asdict
from dataclasses import fields
from pathlib import Path
from typing import Any

from lotushill.contracts.document import check
from lotushill.contracts.effective import trace
from lotushill.contracts.merge import merge
from lotushill.contracts.settings_view import SettingsView
from lotushill.contracts.tree import Root
from lotushill.contracts.tree import TeamSettings
from lotushill.contracts.yaml_text import parse
from lotushill.duties.duty_record import from_spec
from lotushill.duties.duty_record import to_spec
from lotushill.platform.configuration import parse_table
from lotushill.process.settings import GatewaySettings
from lotushill.process.settings_file import check_settings
from lotushill.quarantine.stored_hold import KIND
from lotushill.quarantine.stored_hold import read_hold
from lotushill.standin.settings import StandinSettings

RECORDED = json.loads(Path(__file__).with_name("stored.json").read_text(encoding="utf-8"))
SETTINGS = RECORDED["settings"]


class TestStored(unittest.TestCase):
    def test_a_hold_keeps_its_identity_and_evidence(self) -> None:
        recorded = RECORDED["hold"]
        found = read_hold(recorded["name"], recorded["spec"])
        assert found is not None
        identity, hold = found
        self.assertEqual(recorded["kind"], KIND)
        self.assertEqual(recorded["identity"], identity.hex())
        self.assertEqual(recorded["spec"], hold.to_spec())

    def test_a_duty_record_keeps_windows_that_are_not_reported_yet(self) -> None:
        record = from_spec(RECORDED["duties"])
        assert record is not None
        self.assertEqual(RECORDED["duties"], to_spec(record))
        self.assertEqual({355_999_999, 356_000_000}, set(record.reports))
        self.assertEqual(4_711, record.life)

    def test_a_settings_tree_gives_the_same_values_from_the_same_levels(self) -> None:
        table = parse_table(SETTINGS["configuration"])
        root = check(Root, SETTINGS["root"], "root")
        team = check(TeamSettings, SETTINGS["team"], "team/bakeries")
        for path, expected in SETTINGS["in_force"].items():
            name, _, service = path.partition("/")
            route = table.route(name)
            assert route is not None
            origins = trace(root, team, route, table.team_by_name("bakeries"), service)
            found: dict[str, Any] = {
                key: [asdict(item)["value"], asdict(item)["level"]] for key, item in origins.items()
            }
            self.assertEqual(expected, found, path)

    def test_the_same_objects_have_the_fingerprint_that_the_other_build_gives_them(self) -> None:
        view = SettingsView()
        view.replace(SETTINGS["objects"], 5)
        self.assertEqual(SETTINGS["fingerprint"], view.fingerprint)
        self.assertEqual({}, view.faults)

    def test_two_edits_of_one_value_still_conflict(self) -> None:
        conflict = SETTINGS["conflict"]
        merged = merge(conflict["base"], conflict["ours"], conflict["theirs"])
        self.assertEqual(["policy.limit.rate"], [conflict.path for conflict in merged.conflicts])
        self.assertEqual(2, merged.data["policy"]["tier"])

    def test_a_gateways_settings_file_is_read_to_the_same_settings(self) -> None:
        recorded = SETTINGS["gateway"]
        settings = check_settings(parse(recorded["text"], "gateway.yaml"), "gateway.yaml")
        values, known = asdict(settings), recorded["values"]
        # Settings that the earlier build did not know have their defaults.
        defaults = {
            item.name: item.default for item in fields(GatewaySettings) if item.name not in known
        }
        self.assertEqual(known | defaults, values)

    def test_a_stand_ins_settings_file_is_read_to_the_same_settings(self) -> None:
        recorded = SETTINGS["standin"]
        settings = check(StandinSettings, parse(recorded["text"], "standin.yaml"), "standin.yaml")
        self.assertEqual(recorded["values"], settings.model_dump())
