"""Pages that are written from the code are what the code says now."""

from __future__ import annotations

import importlib
import sys
import unittest
from pathlib import Path

from tests.fault_matrix import COLUMNS
from tests.fault_matrix import MATRIX
from tests.fault_matrix import OPEN
from tests.fault_matrix import PROOFS
from tests.fault_matrix import REASONS

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "scripts"))

from write_pages import pages  # noqa: E402


class TestPages(unittest.TestCase):
    def test_pages_are_up_to_date(self) -> None:
        for path, text in pages().items():
            held = (ROOT / path).read_text(encoding="utf-8")
            self.assertEqual(held, text, f"{path}: run `python scripts/write_pages.py`")

    def test_every_proof_is_a_test(self) -> None:
        for mark, name in PROOFS.items():
            module, klass, method = name.rsplit(".", 2)
            found = getattr(importlib.import_module(module), klass)
            self.assertTrue(callable(getattr(found, method, None)), f"{mark}: {name}")

    def test_every_cell_is_filled_and_every_mark_known(self) -> None:
        known = {OPEN, *PROOFS, *REASONS}
        for step, marks in MATRIX.items():
            self.assertEqual(len(marks.split()), len(COLUMNS), step)
            self.assertLessEqual(set(marks.split()), known, step)
        used = {mark for marks in MATRIX.values() for mark in marks.split()}
        self.assertEqual(set(PROOFS) - used - {"D", "K", "N", "L"}, set(), "a proof without a cell")
