"""Tests of the bounds of the queue storage: number, bytes and time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.waiting.entry import ENTRY_EXPIRY_SECONDS
from lotushill.waiting.entry import RENEW_INTERVAL_SECONDS
from lotushill.waiting.queued_requests import QueuedRequests
from tests.waiting.entries import chat
from tests.waiting.entries import letter
from tests.waiting.entries import queue_entry


class TestQueuedRequests(unittest.TestCase):
    def test_number_of_requests_is_bounded(self) -> None:
        requests = QueuedRequests(max_requests=3)
        taken = [requests.add(queue_entry(key, chat())) for key in range(5)]
        self.assertEqual([True, True, True, False, False], taken)
        self.assertEqual((3, 2), (len(requests), requests.overflows))

    def test_memory_is_bounded(self) -> None:
        requests = QueuedRequests(max_bytes=10_000)
        large = replace(queue_entry(1, chat()), excluded=frozenset(f"e{n}" for n in range(80)))
        self.assertTrue(requests.add(large))
        self.assertFalse(requests.add(replace(large, key=2)))
        requests.drop(1)
        self.assertEqual(0, requests.bytes)
        self.assertTrue(requests.add(replace(large, key=2)))

    def test_an_entry_without_renewal_expires(self) -> None:
        requests = QueuedRequests()
        requests.add(queue_entry(1, chat(), 100.0))
        requests.add(queue_entry(2, chat(), 100.0))
        requests.add(
            replace(queue_entry(2, chat(), 100.0), renewed_at=100.0 + RENEW_INTERVAL_SECONDS)
        )
        ends = 100.0 + ENTRY_EXPIRY_SECONDS
        self.assertEqual([], requests.expire(ends - 0.1))
        self.assertEqual([1], requests.expire(ends + 0.1))
        self.assertIsNone(requests.find(1))
        self.assertIsNotNone(requests.find(2))

    def test_a_renewal_adds_no_entry(self) -> None:
        requests = QueuedRequests(max_requests=1)
        for _ in range(3):
            self.assertTrue(requests.add(queue_entry(1, chat())))
        self.assertEqual(({0: 1}, 1), (requests.tiers("llm"), len(requests)))

    def test_tiers_are_counted(self) -> None:
        requests = QueuedRequests()
        for key, need in enumerate((chat(), letter(), letter())):
            requests.add(queue_entry(key, need))
        self.assertEqual({0: 1, 2: 2}, requests.tiers("llm"))
        requests.drop(0)
        self.assertEqual({2: 2}, requests.tiers("llm"))
        self.assertEqual({}, requests.tiers("other"))
