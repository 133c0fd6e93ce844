"""Digests of parts are the same at all gateways, and their cache keeps no long names of models."""

from __future__ import annotations

import tracemalloc
import unittest

from lotushill.quarantine.identity import part_identity

_ALLOWED_BYTES = 2_000_000


class TestPartIdentity(unittest.TestCase):
    def test_the_names_of_models_that_callers_choose_are_not_kept(self) -> None:
        """Eight thousand names of the length of a head are 80 MB."""
        tracemalloc.start()
        try:
            digests = {part_identity(f"{number}" + "m" * 10_000, 1) for number in range(2_000)}
            used, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual(2_000, len(digests))
        self.assertLess(used, _ALLOWED_BYTES)

    def test_a_part_has_one_digest(self) -> None:
        for model in ("m", "m" * 1_000):
            self.assertEqual(part_identity(model, 1), part_identity(model, 1))
            self.assertNotEqual(part_identity(model, 1), part_identity(model, 2))
