"""Edits that race, and edits whose answers are lost."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.document import parse
from lotushill.contracts.editor import EditConflictError
from lotushill.contracts.editor import Editor
from lotushill.contracts.merge import merge
from lotushill.contracts.paths import put
from lotushill.objectapi.exceptions import UnknownEffectError
from lotushill.standin.object_store import ObjectStore
from tests.contracts.documents import team_text
from tests.objectapi.fake_objects import FakeObjects
from tests.objectapi.fake_objects import Trouble

NAME = "team/bodas"
VALUES = st.recursive(
    st.integers(0, 3), lambda inner: st.dictionaries(st.sampled_from("abc"), inner), max_leaves=6
)
TREES = st.dictionaries(st.sampled_from("abc"), VALUES)


def document(**changes: Any) -> dict[str, Any]:
    data: dict[str, Any] = parse(team_text("bodas", **changes), NAME)
    return data


class TestMerge(unittest.TestCase):
    @given(TREES, TREES)
    def test_one_sided_edits_are_taken_whole(self, base: Any, edited: Any) -> None:
        self.assertEqual(merge(base, edited, base).data, edited)
        self.assertEqual(merge(base, base, edited).data, edited)
        self.assertEqual(merge(base, edited, edited).data, edited)

    @given(TREES, TREES, TREES)
    def test_order_of_the_sides_does_not_matter(self, base: Any, ours: Any, theirs: Any) -> None:
        one, other = merge(base, ours, theirs), merge(base, theirs, ours)
        paths = {clash.path for clash in one.clashes}
        self.assertEqual(paths, {clash.path for clash in other.clashes})
        if not paths:
            self.assertEqual(one.data, other.data)


class Race(FakeObjects):
    """Another operator writes between each read and the write that follows it."""

    def __init__(self, store: ObjectStore, others: list[str]) -> None:
        super().__init__(store)
        self.others = others

    async def put(self, key: str, value: str, expected: int) -> Any:
        """Let the other one write first."""
        if self.others:
            found = self.store.get(key)
            self.store.put(key, self.others.pop(0), found.version if found else 0)
        return await super().put(key, value, expected)


class TestEditor(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ObjectStore()
        self.store.put(f"desired/{NAME}", team_text("bodas"), 0)

    def held(self) -> Any:
        stored = self.store.get(f"desired/{NAME}")
        assert stored is not None
        return parse(stored.value, NAME)

    def test_disjoint_edits_both_stay(self) -> None:
        other = team_text("bodas", policy={"weight": 3.0})
        editor = Editor(Race(self.store, [other]))
        base = document()
        wanted = put(base, "policy.deadline", 9.0)
        anyio.run(editor.apply, NAME, wanted, base)
        self.assertEqual(self.held()["policy"], {"weight": 3.0, "deadline": 9.0})

    def test_edits_of_the_same_value_conflict_and_show_both_sides(self) -> None:
        other = team_text("bodas", policy={"deadline": 5.0})
        editor = Editor(Race(self.store, [other]))
        base = document()
        with self.assertRaises(EditConflictError) as caught:
            anyio.run(editor.apply, NAME, put(base, "policy.deadline", 9.0), base)
        (clash,) = caught.exception.clashes
        self.assertEqual((clash.path, clash.ours, clash.theirs), ("policy.deadline", 9.0, 5.0))
        self.assertEqual(self.held()["policy"], {"deadline": 5.0})

    def test_a_lost_answer_is_resolved_by_reading_back(self) -> None:
        objects = FakeObjects(self.store)
        objects.troubles.extend([Trouble.NONE, Trouble.NONE, Trouble.ANSWER_LOST])
        wanted = put(document(), "policy.deadline", 9.0)
        version = anyio.run(Editor(objects).apply, NAME, wanted, None)
        stored = self.store.get(f"desired/{NAME}")
        assert stored is not None
        self.assertEqual(stored.version, version)
        self.assertEqual(self.store.revision, 2, "written twice")

    def test_a_write_that_may_still_arrive_is_not_made_again(self) -> None:
        objects = FakeObjects(self.store)
        objects.troubles.extend([Trouble.NONE, Trouble.NONE, Trouble.NOT_SENT_UNKNOWN])
        wanted = put(document(), "policy.deadline", 9.0)
        with self.assertRaises(UnknownEffectError):
            anyio.run(Editor(objects).apply, NAME, wanted, None)
        self.assertEqual(self.store.revision, 1)
