"""Cost of a change in a large fleet per member: packets and states, in simulated time.

Guards against floods when many members join at once. If every member sends its whole roster to each
of them, then with 195 members and 40 joining each member carries 8,250 states of others within half
a second, and requests wait meanwhile. The limits here bound what one member sends.
"""

from __future__ import annotations

import unittest

from lotushill.links.messages import MemberPhase
from tests.membership.network import Network

FLEET_SIZE = 195
JOINING = 40
STATES_PER_ROSTER = FLEET_SIZE + JOINING
SECONDS_TO_AGREE = 4.0


def converged_network(count: int, halls: int = 6) -> Network:
    """Return a network whose members have all discovered each other."""
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
        network.state_count = 0
        network.run(seconds)
        return network.state_count / len(network.members)

    def test_members_started_at_once_agree_within_seconds(self) -> None:
        network = converged_network(FLEET_SIZE)
        self.check_agreement(network, set(network.members))

    def test_many_joins_cost_each_member_less_than_one_roster(self) -> None:
        network = converged_network(FLEET_SIZE)
        addresses = [network.address(index) for index in range(FLEET_SIZE)]
        for index in range(FLEET_SIZE, FLEET_SIZE + JOINING):
            network.add(index, seeds=addresses)
        self.assertLess(self.states_per_member(network, 0.5), STATES_PER_ROSTER)
        network.run(SECONDS_TO_AGREE - 0.5)
        self.check_agreement(network, set(network.members))

    def test_cost_of_joins_grows_little_with_the_fleet(self) -> None:
        costs = []
        for count in (40, 160):
            network = converged_network(count)
            seeds = [network.address(index) for index in range(count)]
            for index in range(count, count + 8):
                network.add(index, seeds=seeds)
            costs.append(self.states_per_member(network, SECONDS_TO_AGREE))
        self.assertLess(costs[1], 2.0 * costs[0])

    def test_rolling_restart_costs_less_than_one_roster_per_second(self) -> None:
        network = converged_network(FLEET_SIZE)
        network.state_count = 0
        for batch_start in range(0, 50, 10):
            for index in range(batch_start, batch_start + 10):
                name = network.name(index)
                network.send(name, network.members[name].leave())
                network.down.add(name)
            network.run(0.5)
            for index in range(batch_start, batch_start + 10):
                network.add(index, incarnation=10_000, seeds=[network.address(100)])
            network.run(0.5)
        self.assertLess(network.state_count / FLEET_SIZE / 5.0, STATES_PER_ROSTER)
        network.run(SECONDS_TO_AGREE)
        self.check_agreement(network, set(network.members))

    def test_partitioned_hall_rejoins_within_seconds(self) -> None:
        network = converged_network(FLEET_SIZE)
        hall = network.members[network.name(0)].own.hall
        network.partitioned = {
            name for name, item in network.members.items() if item.own.hall == hall
        }
        network.run(16.0)
        self.assertEqual(len(network.partitioned), len(network.views()[network.name(0)]))
        network.partitioned = set()
        network.state_count = 0
        network.run(2 * SECONDS_TO_AGREE)
        self.check_agreement(network, set(network.members))
        self.assertLess(network.state_count / FLEET_SIZE, 8 * STATES_PER_ROSTER)

    def test_departed_member_is_declared_lost(self) -> None:
        network = converged_network(8)
        name = network.name(3)
        network.send(name, network.members[name].leave())
        network.down.add(name)
        network.run(60.0)
        held = network.members[network.name(0)].find(name)
        assert held is not None
        self.assertIs(held.phase, MemberPhase.LOST)
