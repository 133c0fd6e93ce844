"""A limit set for a team in the settings tree applies to its requests and to no others."""

from __future__ import annotations

import unittest

from lotushill.routing.route import RouteKind
from tests.requests.rig import TEAM
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.test_leaving import whole


def tree(rate: float, team: str = TEAM) -> dict[str, object]:
    return {f"team/{team}": {"team": team, "policy": {"limit": {"rate": rate}}}}


class TestTeamLimit(unittest.IsolatedAsyncioTestCase):
    async def statuses(self, objects: dict[str, object], count: int = 12) -> list[int]:
        upstream = ScriptedUpstream([whole])
        async with Rig([upstream], RouteKind.NON_IDEMPOTENT) as rig:
            rig.settings.replace(objects, 1)
            got = [await rig.call(f"r{number}") for number in range(count)]
        self.assertEqual(len(upstream.requests), sum(item.status == 200 for item in got))
        for item in got:
            if item.status != 200:
                self.assertGreaterEqual(float(item.headers["retry-after"]), 1.0)
        return [item.status for item in got]

    async def test_requests_over_the_limit_are_refused_as_not_run(self) -> None:
        found = await self.statuses(tree(0.1), 4)
        self.assertEqual({503}, set(found))

    async def test_within_the_limit_all_are_served(self) -> None:
        self.assertEqual({200}, set(await self.statuses(tree(10_000.0))))

    async def test_the_limit_of_another_team_does_not_apply(self) -> None:
        self.assertEqual({200}, set(await self.statuses(tree(0.1, "other"))))
