"""Which teams have had more than their share of a service. Pure.

The load that it answers: one team of many asks many times its usual while upstreams have too little
room. Served in the order in which they ask, all teams get the same part of what they ask for, so
that the one that asks most takes the room of all others.

Shares are weighted and max-min: what a team does not ask for is divided among the others, again by
their weights. Work in progress and of late stands for what a team asks for, since what was refused
is known only where it was refused. Only tiers divide the room before that: teams are held against
teams of the same tier.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Protocol

from lotushill.routing.team import team_number
from lotushill.shares.ledger import AccountKey
from lotushill.shares.ledger import Ledger
from lotushill.shares.ledger import TeamWork
from lotushill.shares.work import predicted_work

if TYPE_CHECKING:
    from lotushill.routing.service import Service
    from lotushill.shares.work import SentRequest

_NEAR = 0.9
"""Of its share, from which a team counts as over it: sums waver with each request."""
_MORE = 1.5
"""Times the mean standing of the others that ask, from which a team has clearly had more. Teams
that are nearly even have nothing to be protected from, and are served in the order in which they
ask: with some ten requests of each in a sum, even teams differ by a third."""
_AHEAD = 1.15
"""Times the mean standing of the others, up to which those who wait go in the order they came."""
_LEAST_SERVED = 0.35
"""Of the part of all requests that is placed, what a team keeps of its own however much it asks:
users take a team for starved that is served under a quarter as often as all."""
_LEAST_SHARE = 1e-3
_MOST_TIMES = 1000.0
"""Told of a team beside others that have had nothing."""
_NOTHING = TeamWork(0.0, 0.0)


class ShareRequest(Protocol):
    """What is known of a request in search of an upstream."""

    @property
    def service(self) -> str:
        """Name of the service."""

    @property
    def tier(self) -> int:
        """0 is the most urgent."""

    @property
    def team(self) -> str:
        """Name of its team, empty for none."""

    @property
    def share(self) -> float:
        """Weight of its team."""


@dataclass(frozen=True)
class TeamOverShare:
    """A team that others of its tier go before while a service has too little room."""

    service: str
    tier: int
    team: int
    """Its number."""
    times: float
    """Its standing, times the mean of the others."""


class TeamShares:
    """What teams have had, and who has had too much of it."""

    def __init__(self) -> None:
        self._ledger = Ledger()

    def note_demand(self, need: ShareRequest, now: float) -> None:
        """Learn that a team asks, and its weight."""
        account = self._ledger.account(_key(need))
        account.last_request_at = now
        account.share = max(_LEAST_SHARE, need.share)

    def note_arrival(self, need: ShareRequest, now: float) -> None:
        """Count a request that has come, once however often an upstream is looked for."""
        key = _key(need)
        self._ledger.account(key).served.note_request(now)
        self._ledger.served(key).note_request(now)

    def note_placed(self, need: ShareRequest, now: float) -> None:
        """Count a request for which an upstream was chosen."""
        key = _key(need)
        self._ledger.account(key).served.note_placed(now)
        self._ledger.served(key).note_placed(now)

    def note_start(self, placed: SentRequest, service: Service, now: float) -> None:
        """Count in a request that any gateway has sent to an upstream."""
        key = AccountKey(service.name, placed.tier, placed.team)
        work = predicted_work(placed, service)
        self._ledger.start(placed.request, key, work, now - placed.age, placed.seconds)

    def note_end(self, request: int, now: float, ran: bool = True) -> None:
        """Count a request out; `ran` is false for one that never reached its upstream."""
        self._ledger.end(request, ran, now)

    def standing(self, service: str, team: str, share: float, now: float) -> float:
        """Return a team's work of a service beside its weight; who has the least goes first."""
        work = sum(
            item.work(now) for item in self._ledger.accounts_of_team(service, team_number(team))
        )
        return work / max(_LEAST_SHARE, share)

    def is_over_share(self, need: ShareRequest, now: float) -> bool:
        """Return whether another team that asks has to go before this one's request.

        True for a team near or over its share that has clearly had more than others that ask, as
        long as its requests are not served far less often than those of all teams.
        """
        key = _key(need)
        return self._is_ahead(key, now) and not self._is_starved(key, now)

    def relative_standing(self, need: ShareRequest, now: float) -> float:
        """Return a team's standing times the mean of the others that ask, 0 where none does."""
        return self._times(_key(need), now)

    def excess_standing(self, need: ShareRequest, now: float) -> float:
        """Return how many times the others' standing a team has that is ahead of them, else 0.

        For those who wait for the same room: whoever goes first keeps nobody from going at all.
        """
        times = self.relative_standing(need, now)
        if times < _AHEAD or self._is_starved(_key(need), now):
            return 0.0
        return times

    def teams_over_share(self, now: float) -> list[TeamOverShare]:
        """Return the team of each service and tier that others go before while room is short."""
        return [
            TeamOverShare(key.service, key.tier, key.team, self._times(key, now))
            for key in self._ledger.highest_standings(now)
            if self._is_ahead(key, now)
        ]

    def forget(self, now: float) -> None:
        """Drop what is known of teams that ask no more."""
        self._ledger.forget(now)

    def _is_ahead(self, key: AccountKey, now: float) -> bool:
        own = self._ledger.account(key)
        standing = own.standing(now)
        if standing <= 0.0 or standing < _MORE * self._mean_of_others(key, now):
            return False
        level = standing / _NEAR
        # With `level` for everybody, less could be taken from others than this team lacks to it.
        teams = self._ledger.active_teams(key, now).teams
        above = sum(_over(part, level) for team, part in teams.items() if team != key.team)
        return above <= level * own.share - own.work(now)

    def _mean_of_others(self, key: AccountKey, now: float) -> float:
        """Return the mean standing of the others that ask, by weight; endless without any."""
        asking = self._ledger.active_teams(key, now)
        own = asking.teams.get(key.team, _NOTHING)
        share = asking.share - own.share
        return max(0.0, asking.work - own.work) / share if share > _LEAST_SHARE / 2 else math.inf

    def _is_starved(self, key: AccountKey, now: float) -> bool:
        own = self._ledger.account(key).served.placed_fraction(now)
        all_teams = self._ledger.served(key).placed_fraction(now)
        if own is None or all_teams is None:
            return False
        return own < _LEAST_SERVED * all_teams

    def _times(self, key: AccountKey, now: float) -> float:
        mean = self._mean_of_others(key, now)
        return self._ledger.account(key).standing(now) / mean if mean > 0.0 else _MOST_TIMES


def _over(part: TeamWork, level: float) -> float:
    """Return the work that a team has had over a level beside its weight."""
    return max(0.0, part.work - level * part.share)


def _key(need: ShareRequest) -> AccountKey:
    return AccountKey(need.service, need.tier, team_number(need.team))
