"""Generated pages match the code that they are generated from."""

from __future__ import annotations

import importlib
import sys
import unittest
from pathlib import Path

from tests.fault_matrix import PROMISES

ROOT = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "scripts"))

from write_pages import pages  # noqa: E402


class TestPages(unittest.TestCase):
    def test_pages_are_up_to_date(self) -> None:
        for path, text in pages().items():
            written = (ROOT / path).read_text(encoding="utf-8")
            self.assertEqual(written, text, f"{path}: run `python scripts/write_pages.py`")

    def test_every_proof_is_an_existing_test(self) -> None:
        for promise in PROMISES:
            for case in promise.cases:
                for name in case.proofs:
                    module, klass, method = name.rsplit(".", 2)
                    found = getattr(importlib.import_module(module), klass)
                    self.assertTrue(callable(getattr(found, method, None)), name)

    def test_every_case_without_proofs_has_a_reason(self) -> None:
        for promise in PROMISES:
            for case in promise.cases:
                self.assertTrue(case.proofs or case.note, f"{promise.text} {case.fault}")
