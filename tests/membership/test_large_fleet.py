"""Cost of a change in a large fleet per member: packets and states, in simulated time.

Guards against floods when many members join at once. If every member sends its whole roster to each
of them, then with 195 members and 40 joining each member carries 8,250 states of others within half
a second, and requests wait meanwhile. The limits here bound what one member sends.
"""

from __future__ import annotations

import unittest

from lotushill.links.messages import MemberPhase
from tests.membership.network import Network

FLEET = 195
JOINING = 40
STATES_PER_ROSTER = FLEET + JOINING
SECONDS_TO_AGREE = 4.0


def grown(count: int, halls: int = 6) -> Network:
    """Return a network in which all members know each other."""
    network = Network(0)
    network.halls = halls
    addresses = [network.address(index) for index in range(count)]
    for index in range(count):
        network.add(index, seeds=addresses)
    network.run(2 * SECONDS_TO_AGREE)
    return network


class TestLargeFleet(unittest.TestCase):
    def check_agreement(self, network: Network, expected: set[str]) -> None:
        for name, view in network.views().items():
            self.assertEqual(view, expected, f"view of {name}")

    def states_per_member(self, network: Network, seconds: float) -> float:
        network.states = 0
        network.run(seconds)
        return network.states / len(network.members)

    def test_a_fleet_that_starts_at_once_is_whole_within_seconds(self) -> None:
        network = grown(FLEET)
        self.check_agreement(network, set(network.members))

    def test_many_that_join_cost_each_member_less_than_one_roster(self) -> None:
        network = grown(FLEET)
        addresses = [network.address(index) for index in range(FLEET)]
        for index in range(FLEET, FLEET + JOINING):
            network.add(index, seeds=addresses)
        self.assertLess(self.states_per_member(network, 0.5), STATES_PER_ROSTER)
        network.run(SECONDS_TO_AGREE - 0.5)
        self.check_agreement(network, set(network.members))

    def test_a_join_costs_a_member_hardly_more_in_a_larger_fleet(self) -> None:
        costs = []
        for count in (40, 160):
            network = grown(count)
            seeds = [network.address(index) for index in range(count)]
            for index in range(count, count + 8):
                network.add(index, seeds=seeds)
            costs.append(self.states_per_member(network, SECONDS_TO_AGREE))
        self.assertLess(costs[1], 2.0 * costs[0])

    def test_a_rolling_stop_of_many_at_once_costs_less_than_a_roster_a_second(self) -> None:
        network = grown(FLEET)
        network.states = 0
        for first in range(0, 50, 10):
            for index in range(first, first + 10):
                name = network.name(index)
                network.send(name, network.members[name].leave())
                network.down.add(name)
            network.run(0.5)
            for index in range(first, first + 10):
                network.add(index, incarnation=10_000, seeds=[network.address(100)])
            network.run(0.5)
        self.assertLess(network.states / FLEET / 5.0, STATES_PER_ROSTER)
        network.run(SECONDS_TO_AGREE)
        self.check_agreement(network, set(network.members))

    def test_a_hall_that_was_cut_off_is_back_within_seconds(self) -> None:
        network = grown(FLEET)
        hall = network.members[network.name(0)].own.hall
        network.cut = {name for name, item in network.members.items() if item.own.hall == hall}
        network.run(16.0)
        self.assertEqual(len(network.cut), len(network.views()[network.name(0)]))
        network.cut = set()
        network.states = 0
        network.run(2 * SECONDS_TO_AGREE)
        self.check_agreement(network, set(network.members))
        self.assertLess(network.states / FLEET, 8 * STATES_PER_ROSTER)

    def test_one_that_left_for_good_is_no_longer_probed_as_if_it_were_there(self) -> None:
        network = grown(8)
        name = network.name(3)
        network.send(name, network.members[name].leave())
        network.down.add(name)
        network.run(60.0)
        held = network.members[network.name(0)].find(name)
        assert held is not None
        self.assertIs(held.phase, MemberPhase.LOST)
