"""Which desired objects may go into force."""

from __future__ import annotations

import unittest

from lotushill.contracts.book import hash_key
from lotushill.keeper.judgement import Desired
from lotushill.keeper.judgement import Judge
from lotushill.keeper.judgement import Verdict
from tests.contracts.documents import root_text
from tests.contracts.documents import team_text


def wish(**texts: str) -> dict[str, Desired]:
    """Return desired objects; a keyword names a team, or the root."""
    found: dict[str, Desired] = {}
    for version, (name, text) in enumerate(texts.items(), start=1):
        key = name if name == "root" else f"team/{name}"
        found[key] = Desired(key, version, text)
    return found


def accepted(**texts: str) -> Verdict:
    """Return the verdict on objects that are all to be accepted."""
    return Judge().judge(wish(**texts), {})


class TestJudgement(unittest.TestCase):
    def test_good_objects_are_accepted(self) -> None:
        verdict = accepted(root=root_text(), bodas=team_text("bodas"))
        self.assertEqual(set(verdict.accepted), {"root", "team/bodas"})
        self.assertEqual(verdict.rejected, {})

    def test_a_faulty_edit_keeps_what_was_accepted(self) -> None:
        held = accepted(root=root_text(), bodas=team_text("bodas")).accepted
        verdict = Judge().judge(wish(root=root_text(), bodas=team_text("bodas", weight=3)), held)
        self.assertEqual(verdict.accepted, held)
        self.assertEqual(verdict.rejected["team/bodas"][0].path, "weight")

    def test_a_faulty_team_holds_up_no_other(self) -> None:
        verdict = accepted(root=root_text(), bad="team: [", bodas=team_text("bodas"))
        self.assertEqual(set(verdict.accepted), {"root", "team/bodas"})
        self.assertIn("team/bad", verdict.rejected)

    def test_a_root_that_would_break_a_team_in_force_is_turned_down(self) -> None:
        held = accepted(root=root_text(), bodas=team_text("bodas")).accepted
        narrow = root_text(tiers=["counter", "batch"])
        verdict = Judge().judge(wish(root=narrow, bodas=team_text("bodas")), held)
        self.assertEqual(verdict.accepted, held)
        self.assertIn("would break team/bodas", verdict.rejected["root"][0].reason)

    def test_a_root_and_the_team_edit_that_fits_it_go_together(self) -> None:
        held = accepted(root=root_text(), bodas=team_text("bodas")).accepted
        narrow = root_text(tiers=["counter", "batch"])
        moved = {"rsvp": {"classes": {"answer": {"policy": {"tier": "batch"}}}}}
        verdict = Judge().judge(wish(root=narrow, bodas=team_text("bodas", services=moved)), held)
        self.assertEqual(verdict.rejected, {})
        self.assertNotEqual(verdict.accepted, held)

    def test_a_key_names_one_team_only(self) -> None:
        keys = [hash_key("secret")]
        verdict = accepted(
            root=root_text(),
            first=team_text("first", keys=keys),
            later=team_text("later", keys=keys),
        )
        self.assertEqual(set(verdict.accepted), {"root", "team/first"})
        self.assertIn("already names team first", verdict.rejected["team/later"][0].reason)

    def test_a_removed_team_goes_out_of_force(self) -> None:
        held = accepted(root=root_text(), bodas=team_text("bodas")).accepted
        verdict = Judge().judge(wish(root=root_text()), held)
        self.assertEqual(set(verdict.accepted), {"root"})

    def test_an_object_under_another_teams_name_is_turned_down(self) -> None:
        verdict = accepted(root=root_text(), bodas=team_text("other"))
        self.assertEqual(verdict.rejected["team/bodas"][0].path, "team")
