from __future__ import annotations

import unittest

from lotushill.duties.duty_record import Checkpoint
from lotushill.duties.usage_ledger import UsageLedger
from lotushill.links.messages import TeamCount
from lotushill.links.messages import WorkPage


def page(sender: str, age: float, count: int, window: int = 7) -> WorkPage:
    return WorkPage(sender, age, 0.0, (TeamCount(window, "bakery", count),))


class TestUsageLedger(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = UsageLedger()

    def test_pages_may_be_duplicated_and_reordered(self) -> None:
        for count in (3, 9, 5, 9):
            self.ledger.merge_page(page("a", 10.0, count), 100.0)
        self.ledger.merge_page(page("b", 10.0, 2), 100.0)
        self.assertEqual(self.ledger.total(7), {"bakery": 11})

    def test_counts_of_a_former_process_are_kept(self) -> None:
        self.ledger.merge_page(page("a", 50.0, 9), 100.0)
        self.ledger.merge_page(page("a", 1.0, 4), 105.0)
        self.assertEqual(self.ledger.total(7), {"bakery": 13})

    def test_checkpoint_is_not_added_to_counts_of_older_processes(self) -> None:
        self.ledger.restore(Checkpoint(100.0, {7: {"bakery": 20}}))
        self.ledger.merge_page(page("a", 50.0, 9), 104.0)
        self.assertEqual(self.ledger.total(7), {"bakery": 20})
        self.ledger.merge_page(page("new", 2.0, 6), 104.0)
        self.assertEqual(self.ledger.total(7), {"bakery": 26})

    def test_settled_windows_are_discarded(self) -> None:
        self.ledger.merge_page(page("a", 50.0, 9), 100.0)
        self.ledger.discard_settled(7)
        self.assertEqual(self.ledger.open_windows(0), set())
