"""Assigns the requests of a replay to teams."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.load.policy.scenario import RequestClass
    from lotushill.load.policy.scenario import Scenario
    from lotushill.load.policy.scenario import Team


class Teams:
    """Draws teams from separate generators, so the requests are the same without teams."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._bursts = scenario.team_bursts
        self._teams = [one for item in scenario.teams for one in _expand(item)]
        self._rngs = {
            item.name: random.Random(f"{seed}/{item.name}/team") for item in scenario.classes
        }

    def rate_factor(self, kind: RequestClass, now: float) -> float:
        """Return the request rate of a class as a multiple of its usual rate."""
        if not self._teams:
            return 1.0
        return sum(self._weights(kind, now)) / sum(item.part for item in self._teams)

    def draw(self, kind: RequestClass, now: float) -> Team | None:
        """Return the team of a new request of a class, None if the scenario has no teams."""
        if not self._teams:
            return None
        return self._rngs[kind.name].choices(self._teams, self._weights(kind, now))[0]

    def _weights(self, kind: RequestClass, now: float) -> list[float]:
        return [item.part * self._team_rate_factor(item, kind, now) for item in self._teams]

    def _team_rate_factor(self, team: Team, kind: RequestClass, now: float) -> float:
        factor = 1.0
        for burst in self._bursts:
            matches = burst.team == team.name and burst.name in ("", kind.name)
            if matches and burst.at <= now < burst.at + burst.seconds:
                factor *= burst.times
        return factor


def _expand(team: Team) -> list[Team]:
    if team.count == 1:
        return [team]
    return [replace(team, name=f"{team.name}-{n}", count=1) for n in range(team.count)]
