from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.yaml_text import parse
from lotushill.process.settings import GatewaySettings
from lotushill.process.settings import RetrySettings
from lotushill.process.settings_file import check_settings
from lotushill.process.settings_file import read_settings

REQUIRED_SETTINGS: dict[str, Any] = {
    "name": "gw",
    "hall": "h",
    "region": "r",
    "clients": "10.0.0.1:80",
    "readiness": "10.0.0.1:81",
    "peers": "10.0.0.1:82",
    "store": "10.0.1.1:83",
}
ANYTHING = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
)


def faults(value: Any) -> dict[str, str]:
    try:
        check_settings(value, "file")
    except SettingsError as error:
        return {fault.path: fault.reason for fault in error.faults}
    return {}


class TestSettingsFile(unittest.TestCase):
    def test_missing_values_have_defaults_and_unknown_keys_are_ignored(self) -> None:
        found = check_settings({**REQUIRED_SETTINGS, "new_key": 1, "retry": {"slack": 5}}, "file")
        self.assertEqual(8.0, found.grace_seconds)
        self.assertEqual(RetrySettings(slack=5.0), found.retry)

    def test_each_fault_is_reported_with_its_path(self) -> None:
        wrong = {
            **REQUIRED_SETTINGS,
            "hall": "",
            "peers": "nowhere",
            "grace_seconds": 0,
            "retry": {"ratio": -1},
        }
        del wrong["name"]
        self.assertEqual(
            {"name", "hall", "peers", "grace_seconds", "retry.ratio"}, set(faults(wrong))
        )

    def test_an_amount_may_be_zero_and_a_time_may_not(self) -> None:
        self.assertEqual({}, faults({**REQUIRED_SETTINGS, "leave_seconds": 0}))
        for wrong in (0, -1, True, "8", float("nan"), float("inf"), None):
            self.assertEqual(
                {"recent_seconds"}, set(faults({**REQUIRED_SETTINGS, "recent_seconds": wrong}))
            )

    @given(ANYTHING)
    def test_any_other_data_raises_a_settings_error(self, value: Any) -> None:
        self.assertTrue(faults(value))

    @given(st.sampled_from(sorted(REQUIRED_SETTINGS)), ANYTHING)
    def test_any_value_is_accepted_or_reported(self, key: str, value: Any) -> None:
        found = faults({**REQUIRED_SETTINGS, key: value})
        self.assertLessEqual(set(found), {key})

    def test_a_number_too_large_for_a_float_is_reported(self) -> None:
        """A whole number of 401 digits ended a running gateway at the next reload."""
        for wrong in (10**400, -(10**400), 10**5000):
            self.assertEqual(
                {"grace_seconds"}, set(faults({**REQUIRED_SETTINGS, "grace_seconds": wrong}))
            )

    def test_a_name_that_cannot_be_sent_is_reported(self) -> None:
        self.assertEqual({"name"}, set(faults({**REQUIRED_SETTINGS, "name": "gw-\ud800"})))

    @given(st.text() | st.text("[]{}:,-!&*?|>'\"%@`# \n\t0.eE", max_size=40))
    def test_any_text_is_parsed_or_reported(self, text: str) -> None:
        for prefix in ("", "{"):
            try:
                parse(prefix + text, "file")
            except SettingsError:
                pass

    def test_json_and_yaml_give_equal_settings(self) -> None:
        yaml = "\n".join(f'{key}: "{value}"' for key, value in REQUIRED_SETTINGS.items())
        flow = (
            "{" + ", ".join(f'{key}: "{value}"' for key, value in REQUIRED_SETTINGS.items()) + "}"
        )
        found: list[GatewaySettings] = []
        for text in (json.dumps(REQUIRED_SETTINGS), yaml, flow):
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "gateway.yaml"
                path.write_text(text, encoding="utf-8")
                found.append(read_settings(path))
        self.assertEqual([found[0]] * 3, found)
