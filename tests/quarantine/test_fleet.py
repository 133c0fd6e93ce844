"""Tests a fleet against one caller whose requests crash upstreams, and against other failures."""

from __future__ import annotations

import unittest

from tests.quarantine.virtual_fleet import COMMON
from tests.quarantine.virtual_fleet import DEADLY
from tests.quarantine.virtual_fleet import SAME_TEAM
from tests.quarantine.virtual_fleet import TICK
from tests.quarantine.virtual_fleet import VARYING
from tests.quarantine.virtual_fleet import VirtualFleet

FLEETS = ((9, 9), (81, 20), (360, 60))
"""Fleet sizes as pairs of the number of gateways and of upstreams."""
LATE = 3
CONTACT_SECONDS = 3.0


async def run(
    fleet: VirtualFleet,
    seconds: float,
    deadly: float,
    others: float,
    storm: float = 0.0,
    varying: bool = False,
    same_team: float = 0.0,
) -> None:
    """Send requests at rates per second; half of the upstreams fail every `storm` seconds.

    With `varying` each deadly request has a different body; `same_team` is the rate of harmless
    requests of the same team.
    """
    due = fleet.now + storm
    number = 0
    for _ in range(round(seconds / TICK)):
        if fleet.rng.random() < deadly * TICK:
            number += 1
            varied = VARYING + f"{fleet.now:.2f}-{number}".encode()
            await fleet.arrive(varied if varying else DEADLY, 0.1)
        if fleet.rng.random() < same_team * TICK:
            number += 1
            await fleet.arrive(SAME_TEAM + f"{fleet.now:.2f}-{number}".encode(), 1.0)
        for _ in range(round(others * TICK + fleet.rng.random() - 0.5)):
            number += 1
            common = fleet.rng.random() < 0.25
            identity = COMMON if common else f"{fleet.now:.3f}-{number}".encode().ljust(16)
            await fleet.arrive(identity, fleet.rng.uniform(0.2, 2.0))
        if storm and fleet.now >= due:
            due += storm
            await fleet.fail_fraction(0.5)
        await fleet.step()


class TestDeadlyRequest(unittest.IsolatedAsyncioTestCase):
    async def test_it_reaches_no_upstream_soon_after_the_third_failure_and_others_are_served(
        self,
    ) -> None:
        for gateways, upstreams in FLEETS:
            for seed in range(3):
                with self.subTest(gateways=gateways, seed=seed):
                    fleet = VirtualFleet(gateways, upstreams, seed, loss=0.1)
                    await run(fleet, 5.0, deadly=0.0, others=50.0)
                    await run(fleet, 8.0, deadly=3.0, others=50.0)
                    fleet.outcomes.clear()
                    await run(fleet, 10.0, deadly=3.0, others=50.0)
                    third = fleet.deadly_failures[2]
                    late = [at for at in fleet.deadly_sent if at > third + CONTACT_SECONDS]
                    self.assertEqual([], late)
                    self.assertLessEqual(len(fleet.deadly_failures), 5)
                    self.assertGreaterEqual(fleet.completed_fraction(b"other"), 0.97)
                    self.assertGreaterEqual(fleet.completed_fraction(COMMON), 0.97)

    async def test_gateway_without_own_observations_holds_after_peer_updates(self) -> None:
        fleet = VirtualFleet(9, 9, 1)
        await run(fleet, 8.0, deadly=3.0, others=20.0)
        self.assertEqual(
            [True] * 9, [item.is_held(DEADLY, fleet.now) for item in fleet.quarantines]
        )


class TestVaryingBodies(unittest.IsolatedAsyncioTestCase):
    """Tests a caller that changes a byte each time, as with a time or an id in the body.

    If each of its requests counts as a new one, each may crash three upstreams: with four gateways
    and six engines, 103 engines failed in 35 s, and only 0.28 of all other requests were served.
    """

    async def test_other_requests_are_served_soon_after_the_third_failure(self) -> None:
        for gateways, upstreams in FLEETS:
            for seed in range(3):
                with self.subTest(gateways=gateways, seed=seed):
                    fleet = VirtualFleet(gateways, upstreams, seed, loss=0.1)
                    await run(fleet, 5.0, deadly=0.0, others=50.0)
                    await run(fleet, 1.0, deadly=3.0, others=50.0, varying=True)
                    while len(fleet.deadly_failures) < 3:
                        await run(fleet, 0.5, deadly=3.0, others=50.0, varying=True)
                    await run(fleet, 5.0, deadly=3.0, others=50.0, varying=True)
                    fleet.outcomes.clear()
                    await run(fleet, 24.0, deadly=3.0, others=50.0, varying=True)
                    self.assertGreaterEqual(fleet.completed_fraction(b"other"), 0.97)
                    self.assertGreaterEqual(fleet.completed_fraction(COMMON), 0.97)

    async def test_a_restarted_gateway_isolates_the_same_groups_as_the_others(self) -> None:
        fleet = VirtualFleet(9, 9, 1, loss=0.1)
        await run(fleet, 5.0, deadly=0.0, others=50.0)
        await run(fleet, 8.0, deadly=3.0, others=50.0, varying=True)
        fleet.restart(0)
        await run(fleet, 5.0, deadly=0.0, others=50.0)
        self.assertEqual(
            [True] * 9, [bool(item.isolated_groups(fleet.now)) for item in fleet.isolations]
        )

    async def test_harmless_requests_of_the_same_team_are_served_like_those_of_others(self) -> None:
        for seed in range(3):
            fleet = VirtualFleet(9, 9, seed, loss=0.1)
            await run(fleet, 5.0, deadly=0.0, others=50.0)
            await run(fleet, 7.0, deadly=3.0, others=50.0, varying=True, same_team=3.0)
            fleet.outcomes.clear()
            await run(fleet, 24.0, deadly=3.0, others=50.0, varying=True, same_team=3.0)
            with self.subTest(seed=seed):
                self.assertGreaterEqual(fleet.completed_fraction(SAME_TEAM), 0.97)


class TestUnrelatedFailures(unittest.IsolatedAsyncioTestCase):
    """Tests repeated failures of half of the upstreams at once, which no request causes."""

    async def test_the_common_request_is_served_and_hardly_any_other_is_held(self) -> None:
        for storm in (2.0, 5.0):
            fleet = VirtualFleet(9, 9, 4, loss=0.1)
            await run(fleet, 5.0, deadly=0.0, others=50.0)
            fleet.outcomes.clear()
            await run(fleet, 30.0, deadly=0.0, others=50.0, storm=storm)
            with self.subTest(storm=storm):
                self.assertEqual(0, fleet.outcomes[COMMON, "held"])
                self.assertEqual(0, fleet.outcomes[b"other", "held"])

    async def test_no_group_is_isolated_even_if_it_has_few_requests(self) -> None:
        for gateways, upstreams in FLEETS:
            for same_team in (0.3, 3.0):
                fleet = VirtualFleet(gateways, upstreams, 4, loss=0.1)
                await run(fleet, 5.0, deadly=0.0, others=50.0, same_team=same_team)
                fleet.outcomes.clear()
                await run(fleet, 30.0, deadly=0.0, others=50.0, storm=3.0, same_team=same_team)
                isolated = {kind for kind, outcome in fleet.outcomes if outcome == "isolated"}
                with self.subTest(gateways=gateways, same_team=same_team):
                    self.assertEqual(set(), isolated)
