"""New streams fill the last upstreams of a version under high load, and streams that have to go on
there find no slot."""

from __future__ import annotations

import unittest

from lotushill.placement.version_reserve import without_reserved
from lotushill.routing.upstream import Upstream

SLOTS = 16


def upstream(name: str, version: str) -> Upstream:
    return Upstream(name, "llm", f"10.0.0.{name[1:]}:80", "z", SLOTS, False, version=version)


OLD = [upstream("b1", "v1"), upstream("b2", "v1")]
NEW = [upstream(f"b{number}", "v2") for number in range(3, 9)]


class TestVersionReserve(unittest.TestCase):
    def usable(self, free: dict[str, int], serving: list[Upstream]) -> list[str]:
        kept = without_reserved(serving, serving, lambda item: free.get(item.id, 0))
        return [item.id for item in kept]

    def test_the_last_slots_of_a_scarce_version_are_left_to_its_streams(self) -> None:
        self.assertEqual(["b1", "b3"], self.usable({"b1": 3, "b2": 2, "b3": 1}, [*OLD, *NEW])[:2])

    def test_a_scarce_version_is_used_while_the_others_are_full(self) -> None:
        names = self.usable({"b1": 1, "b2": 1}, [*OLD, *NEW])
        self.assertEqual([item.id for item in [*OLD, *NEW]], names)

    def test_one_version_has_no_reserve(self) -> None:
        self.assertEqual(["b1", "b2"], self.usable({"b1": 1}, OLD))

    def test_where_all_versions_are_scarce_none_has_a_reserve(self) -> None:
        self.assertEqual(4, len(self.usable({"b1": 1, "b3": 1}, [*OLD, *NEW[:2]])))
