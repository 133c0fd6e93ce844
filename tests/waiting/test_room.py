"""The room is bounded in number, bytes and time."""

from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.waiting.entry import EXPIRY_SECONDS
from lotushill.waiting.entry import RENEW_INTERVAL_SECONDS
from lotushill.waiting.queued_requests import QueuedRequests
from tests.waiting.entries import chat
from tests.waiting.entries import letter
from tests.waiting.entries import waiting


class TestRoom(unittest.TestCase):
    def test_it_is_bounded_in_number(self) -> None:
        room = QueuedRequests(max_requests=3)
        taken = [room.add(waiting(key, chat())) for key in range(5)]
        self.assertEqual([True, True, True, False, False], taken)
        self.assertEqual((3, 2), (len(room), room.overflows))

    def test_it_is_bounded_in_bytes(self) -> None:
        room = QueuedRequests(max_bytes=10_000)
        large = replace(waiting(1, chat()), excluded=frozenset(f"e{n}" for n in range(80)))
        self.assertTrue(room.add(large))
        self.assertFalse(room.add(replace(large, key=2)))
        room.drop(1)
        self.assertEqual(0, room.bytes)
        self.assertTrue(room.add(replace(large, key=2)))

    def test_what_is_not_renewed_expires(self) -> None:
        room = QueuedRequests()
        room.add(waiting(1, chat(), 100.0))
        room.add(waiting(2, chat(), 100.0))
        room.add(replace(waiting(2, chat(), 100.0), renewed_at=100.0 + RENEW_INTERVAL_SECONDS))
        ends = 100.0 + EXPIRY_SECONDS
        self.assertEqual([], room.expire(ends - 0.1))
        self.assertEqual([1], room.expire(ends + 0.1))
        self.assertIsNone(room.find(1))
        self.assertIsNotNone(room.find(2))

    def test_a_renewal_takes_no_second_place(self) -> None:
        room = QueuedRequests(max_requests=1)
        for _ in range(3):
            self.assertTrue(room.add(waiting(1, chat())))
        self.assertEqual(({0: 1}, 1), (room.tiers("llm"), len(room)))

    def test_tiers_are_counted(self) -> None:
        room = QueuedRequests()
        for key, need in enumerate((chat(), letter(), letter())):
            room.add(waiting(key, need))
        self.assertEqual({0: 1, 2: 2}, room.tiers("llm"))
        room.drop(0)
        self.assertEqual({2: 2}, room.tiers("llm"))
        self.assertEqual({}, room.tiers("other"))
