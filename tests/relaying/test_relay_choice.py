"""Relays are near, proven and many, and those that cannot serve are left alone for a while."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from lotushill.relaying.relay_choice import MAX_RELAYS_ASKED
from lotushill.relaying.relay_choice import Peer
from lotushill.relaying.relay_choice import RelayChoice

NOW = 100.0
PEERS = [Peer(f"gw-{n}", f"10.0.0.{n}:7", f"hall-{n % 3}") for n in range(9)]


class TestRelayChoice(unittest.TestCase):
    def setUp(self) -> None:
        self.choice = RelayChoice("hall-1")
        self.rng = random.Random(1)

    def ask(self, now: float = NOW) -> list[Peer]:
        return self.choice.candidates(PEERS, now, self.rng)

    def test_the_first_is_of_the_own_hall_and_the_next_of_another(self) -> None:
        for _ in range(20):
            first, second, third = self.ask()
            self.assertEqual("hall-1", first.hall)
            self.assertNotEqual("hall-1", second.hall)
            self.assertEqual(MAX_RELAYS_ASKED, len({first, second, third}))

    def test_one_that_cannot_serve_is_left_alone_for_a_while(self) -> None:
        for peer in PEERS[:8]:
            self.choice.note_failed(peer.name, NOW)
        self.assertEqual([PEERS[8]], self.ask(NOW + 1.0))
        self.choice.note_failed(PEERS[8].name, NOW + 1.0)
        self.assertEqual([], self.ask(NOW + 1.5))
        self.assertIn(PEERS[0], [peer for _ in range(40) for peer in self.ask(NOW + 2.5)])

    def test_the_load_is_spread_over_several_proven_ones(self) -> None:
        firsts: Counter[str] = Counter()
        for _ in range(400):
            peer = self.ask()[0]
            firsts[peer.name] += 1
            self.choice.note_served(peer.name, NOW)
        self.assertGreaterEqual(len(firsts), 4)
        self.assertLess(max(firsts.values()), 200)

    def test_the_only_one_that_serves_is_asked_for_every_connection(self) -> None:
        for peer in PEERS[1:]:
            self.choice.note_failed(peer.name, NOW)
        self.choice.note_served(PEERS[0].name, NOW)
        self.assertTrue(all(PEERS[0] in self.ask(NOW + 2.5) for _ in range(40)))

    def test_gateways_that_are_gone_are_forgotten(self) -> None:
        self.choice.note_failed("gw-1", NOW)
        self.choice.retain_only({"gw-2"})
        self.assertIn(PEERS[1], [peer for _ in range(40) for peer in self.ask()])
