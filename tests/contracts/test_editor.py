"""Concurrent edits, and edits whose answers are lost."""

from __future__ import annotations

import unittest
from typing import Any

import anyio
from hypothesis import given
from hypothesis import strategies as st

from lotushill.contracts.editor import Editor
from lotushill.contracts.exceptions import EditConflictError
from lotushill.contracts.exceptions import EditRetriesExhaustedError
from lotushill.contracts.exceptions import UnknownOutcomeError
from lotushill.contracts.merge import merge
from lotushill.contracts.names import SETTINGS_KIND
from lotushill.contracts.paths import put
from lotushill.views.exceptions import RevisionConflictError
from lotushill.views.exceptions import StoreUnavailableError
from lotushill.views.stored_object import ObjectList
from lotushill.views.stored_object import StoredObject
from tests.contracts.documents import team_document

NAME = "team/bodas"
STORED = "team.bodas"
VALUES = st.recursive(
    st.integers(0, 3),
    lambda children: st.dictionaries(st.sampled_from("abc"), children),
    max_leaves=6,
)
TREES = st.dictionaries(st.sampled_from("abc"), VALUES)


def document(**changes: Any) -> dict[str, Any]:
    return team_document("bodas", **changes)


class TestMerge(unittest.TestCase):
    @given(TREES, TREES)
    def test_an_edit_of_one_side_only_is_taken_completely(self, base: Any, edited: Any) -> None:
        self.assertEqual(merge(base, edited, base).data, edited)
        self.assertEqual(merge(base, base, edited).data, edited)
        self.assertEqual(merge(base, edited, edited).data, edited)

    @given(TREES, TREES, TREES)
    def test_the_order_of_the_sides_does_not_matter(
        self, base: Any, ours: Any, theirs: Any
    ) -> None:
        first, second = merge(base, ours, theirs), merge(base, theirs, ours)
        paths = {conflict.path for conflict in first.conflicts}
        self.assertEqual(paths, {conflict.path for conflict in second.conflicts})
        if not paths:
            self.assertEqual(first.data, second.data)


class FakeStore:
    """In-memory store of one kind, with concurrent edits and writes whose answers are lost."""

    def __init__(self, others: list[dict[str, Any]] | None = None) -> None:
        self.objects = {STORED: StoredObject(STORED, 1, document())}
        self.concurrent_edits = others or []
        """Documents that another editor writes, one before each write of the editor under test."""
        self.unanswered_writes: list[bool] = []
        """For each write whose answer is lost, whether it is carried out."""
        self.revision = 1

    async def list_kind(self, kind: str, stale: bool = False) -> ObjectList:
        del kind, stale
        return ObjectList(tuple(self.objects.values()), self.revision)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        assert kind == SETTINGS_KIND
        return self.objects.get(name)

    async def create(self, kind: str, name: str, spec: Any) -> None:
        self._write(name, spec, None)

    async def replace(self, kind: str, name: str, spec: Any, revision: int | None = None) -> None:
        self._write(name, spec, revision)

    def _write(self, name: str, spec: Any, revision: int | None) -> None:
        if self.concurrent_edits:
            self._store(name, self.concurrent_edits.pop(0))
        current = self.objects.get(name)
        if (current.revision if current else None) != revision:
            raise RevisionConflictError
        if not self.unanswered_writes:
            self._store(name, spec)
            return
        if self.unanswered_writes.pop(0):
            self._store(name, spec)
        raise StoreUnavailableError("no answer")

    def _store(self, name: str, spec: Any) -> None:
        self.revision += 1
        self.objects[name] = StoredObject(name, self.revision, spec)


class TestEditor(unittest.TestCase):
    def stored_data(self, store: FakeStore) -> Any:
        return store.objects[STORED].spec

    def test_disjoint_edits_both_stay(self) -> None:
        store = FakeStore([document(policy={"max_attempts": 3})])
        base = document()
        anyio.run(Editor(store).apply, NAME, put(base, "policy.deadline", 9.0), base)
        self.assertEqual(self.stored_data(store)["policy"], {"max_attempts": 3, "deadline": 9.0})

    def test_edits_of_the_same_value_conflict_and_show_both_sides(self) -> None:
        store = FakeStore([document(policy={"deadline": 5.0})])
        base = document()
        with self.assertRaises(EditConflictError) as caught:
            anyio.run(Editor(store).apply, NAME, put(base, "policy.deadline", 9.0), base)
        (conflict,) = caught.exception.conflicts
        self.assertEqual(
            (conflict.path, conflict.ours, conflict.theirs), ("policy.deadline", 9.0, 5.0)
        )
        self.assertEqual(self.stored_data(store)["policy"], {"deadline": 5.0})

    def test_a_new_object_is_created(self) -> None:
        store = FakeStore()
        anyio.run(Editor(store).apply, "root", {"policy": {"tier": 2}}, None)
        self.assertEqual({"policy": {"tier": 2}}, store.objects["root"].spec)

    def test_a_lost_answer_is_resolved_by_reading_back(self) -> None:
        store = FakeStore()
        store.unanswered_writes = [True]
        wanted = put(document(), "policy.deadline", 9.0)
        revision = anyio.run(Editor(store).apply, NAME, wanted, None)
        self.assertEqual(store.objects[STORED].revision, revision)
        self.assertEqual(store.revision, 2, "written twice")

    def test_a_write_that_may_still_arrive_is_not_made_again(self) -> None:
        store = FakeStore()
        store.unanswered_writes = [False]
        wanted = put(document(), "policy.deadline", 9.0)
        with self.assertRaises(UnknownOutcomeError):
            anyio.run(Editor(store).apply, NAME, wanted, None)
        self.assertEqual(store.revision, 1)

    def test_an_edit_is_given_up_after_too_many_concurrent_edits(self) -> None:
        others = [document(policy={"max_attempts": number}) for number in range(1, 9)]
        store = FakeStore(others)
        with self.assertRaises(EditRetriesExhaustedError):
            anyio.run(Editor(store).edit, NAME, lambda data: put(data, "policy.deadline", 9.0))
