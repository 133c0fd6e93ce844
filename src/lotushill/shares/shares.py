"""Decides which teams have had more than their share of a service. Pure.

Handles the load where one team of many sends many times its usual requests while upstreams have too
little capacity. Served in the order of arrival, all teams would have the same fraction of their
requests served, so the team with the most requests would take the capacity of all others.

Shares are weighted and max-min fair: capacity that a team does not request is divided among the
others, again by their weights. Running and recent work stands for a team's demand, since a refusal
is known only to the scheduler that refused. Capacity is divided by tier before that: teams are
compared only with teams of the same tier.
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

_NEAR_SHARE_FRACTION = 0.9
"""Fraction of its share from which a team counts as over it, since the sums fluctuate with each
request."""
_CLEARLY_MORE_FACTOR = 1.5
"""Multiple of the mean standing of the other active teams from which a team has clearly had more.
Nearly even teams need no protection from each other and are served in the order of arrival: with
some ten requests of each in a sum, even teams differ by a third."""
_QUEUE_ORDER_FACTOR = 1.15
"""Multiple of the mean standing of the others up to which a team's queued requests go in the order
of arrival."""
_MIN_SERVED_FRACTION = 0.35
"""Guaranteed served fraction of a team, as a fraction of that of all teams, however many requests
it sends: users consider a team starved that is served less than a quarter as often as all."""
_MIN_SHARE = 1e-3
_MAX_RELATIVE_STANDING = 1000.0
"""Relative standing given for a team while the others have had no work."""
_NO_WORK = TeamWork(0.0, 0.0)


class ShareRequest(Protocol):
    """The properties of a request that is to be placed."""

    @property
    def service(self) -> str:
        """Name of the service."""

    @property
    def tier(self) -> int:
        """Urgency; 0 is the most urgent."""

    @property
    def team(self) -> str:
        """Name of the team, empty for none."""

    @property
    def share(self) -> float:
        """Weight of the team."""


@dataclass(frozen=True)
class TeamOverShare:
    """A team over its share, which other teams of its tier precede while capacity is short."""

    service: str
    tier: int
    team: int
    """Number of the team."""
    times: float
    """Standing of the team as a multiple of the mean of the others."""


class TeamShares:
    """Tracks the work of teams and finds those over their shares."""

    def __init__(self) -> None:
        self._ledger = Ledger()

    def note_demand(self, need: ShareRequest, now: float) -> None:
        """Note that a team is active, and its weight."""
        account = self._ledger.account(_key(need))
        account.last_request_at = now
        account.share = max(_MIN_SHARE, need.share)

    def note_arrival(self, need: ShareRequest, now: float) -> None:
        """Count a request that arrived, once even if an upstream is searched for repeatedly."""
        key = _key(need)
        self._ledger.account(key).served.note_request(now)
        self._ledger.served(key).note_request(now)

    def note_placed(self, need: ShareRequest, now: float) -> None:
        """Count a request for which an upstream was chosen."""
        key = _key(need)
        self._ledger.account(key).served.note_placed(now)
        self._ledger.served(key).note_placed(now)

    def note_start(self, placed: SentRequest, service: Service, now: float) -> None:
        """Add a request that any gateway has sent to an upstream."""
        key = AccountKey(service.name, placed.tier, placed.team)
        work = predicted_work(placed, service)
        self._ledger.start(placed.request, key, work, now - placed.age, placed.seconds)

    def note_end(self, request: int, now: float, ran: bool = True) -> None:
        """Remove a request; `ran` is false for one that never reached its upstream."""
        self._ledger.end(request, ran, now)

    def standing(self, service: str, team: str, share: float, now: float) -> float:
        """Return a team's work at a service divided by its weight; the lowest value goes first."""
        work = sum(
            item.work(now) for item in self._ledger.accounts_of_team(service, team_number(team))
        )
        return work / max(_MIN_SHARE, share)

    def is_over_share(self, need: ShareRequest, now: float) -> bool:
        """Return whether requests of other active teams have to go before this one.

        True for a team near or over its share that has clearly had more than the other active
        teams, as long as its requests are not served far less often than those of all teams.
        """
        key = _key(need)
        return self._is_clearly_ahead(key, now) and not self._is_starved(key, now)

    def relative_standing(self, need: ShareRequest, now: float) -> float:
        """Return a team's standing divided by the mean of the other active teams, 0 without any."""
        return self._relative_standing(_key(need), now)

    def excess_standing(self, need: ShareRequest, now: float) -> float:
        """Return a team's relative standing if it is ahead of the others, otherwise 0.

        Used to order queued requests: going first there does not exclude others altogether.
        """
        times = self.relative_standing(need, now)
        if times < _QUEUE_ORDER_FACTOR or self._is_starved(_key(need), now):
            return 0.0
        return times

    def teams_over_share(self, now: float) -> list[TeamOverShare]:
        """Return the team of each service and tier that others precede while capacity is short."""
        return [
            TeamOverShare(key.service, key.tier, key.team, self._relative_standing(key, now))
            for key in self._ledger.highest_standings(now)
            if self._is_clearly_ahead(key, now)
        ]

    def forget(self, now: float) -> None:
        """Drop the accounts of idle teams."""
        self._ledger.forget(now)

    def _is_clearly_ahead(self, key: AccountKey, now: float) -> bool:
        own = self._ledger.account(key)
        standing = own.standing(now)
        if standing <= 0.0 or standing < _CLEARLY_MORE_FACTOR * self._mean_of_others(key, now):
            return False
        level = standing / _NEAR_SHARE_FRACTION
        # At this standing for all teams, others would free less work than this team lacks up to it.
        teams = self._ledger.active_teams(key, now).teams
        work_above = sum(
            _work_above(team_work, level) for team, team_work in teams.items() if team != key.team
        )
        return work_above <= level * own.share - own.work(now)

    def _mean_of_others(self, key: AccountKey, now: float) -> float:
        """Return the weighted mean standing of the other active teams, infinity without any."""
        active = self._ledger.active_teams(key, now)
        own = active.teams.get(key.team, _NO_WORK)
        share = active.share - own.share
        return max(0.0, active.work - own.work) / share if share > _MIN_SHARE / 2 else math.inf

    def _is_starved(self, key: AccountKey, now: float) -> bool:
        own = self._ledger.account(key).served.placed_fraction(now)
        all_teams = self._ledger.served(key).placed_fraction(now)
        if own is None or all_teams is None:
            return False
        return own < _MIN_SERVED_FRACTION * all_teams

    def _relative_standing(self, key: AccountKey, now: float) -> float:
        mean = self._mean_of_others(key, now)
        return (
            self._ledger.account(key).standing(now) / mean if mean > 0.0 else _MAX_RELATIVE_STANDING
        )


def _work_above(team_work: TeamWork, level: float) -> float:
    """Return the work of a team above the standing `level`."""
    return max(0.0, team_work.work - level * team_work.share)


def _key(need: ShareRequest) -> AccountKey:
    return AccountKey(need.service, need.tier, team_number(need.team))
