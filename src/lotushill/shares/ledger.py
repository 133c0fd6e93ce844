"""The work that each team has had of a service, summed over the fleet. Pure.

Fed by what gateways tell of all requests that they send, so that every scheduler holds the same
sums but for what is on its way. A sum is rebuilt from what still runs; recent work is lost with the
process and is as good as forgotten after some ten seconds anyway.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.shares.served_counts import ServedCounts

if TYPE_CHECKING:
    from collections.abc import Iterator

_RECENT_SECONDS = 10.0
"""After which a third of the work counts. Shorter than a burst, so that who had much in it does not
pay long after; longer than a request, so that what ran just now counts beside what runs."""
_ASKED_SECONDS = 5.0
"""A team that asked within it is taken to ask again."""
_LOOK_SECONDS = 0.03
"""Between two looks at all teams: requests that wait ask again some thirty times a second each, and
news of others are as old."""
_IDLE_SECONDS = 60.0
"""Until an account without work is dropped."""


@dataclass(frozen=True)
class AccountKey:
    """A team's part of one tier of one service; the team is told by its number."""

    service: str
    tier: int
    team: int


@dataclass(frozen=True)
class _Running:
    """One request that runs."""

    key: AccountKey
    work: float
    since: float
    seconds: float
    """How long it is expected to run."""


class Account:
    """The work of one team in one tier of one service."""

    def __init__(self) -> None:
        self.share = 1.0
        """Its weight beside other teams."""
        self.last_request_at = -math.inf
        self.served = ServedCounts()
        self._running = 0.0
        self._count = 0
        self._recent = 0.0
        self._recent_at = 0.0

    def work(self, now: float) -> float:
        """Return what it has running, and what it had of late."""
        return self._running + self._recent_work(now)

    def standing(self, now: float) -> float:
        """Return its work beside its weight; who has the least goes first."""
        return self.work(now) / self.share

    def is_active(self, now: float) -> bool:
        """Return whether the team has asked of late."""
        return now - self.last_request_at < _ASKED_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether the account may be forgotten."""
        return not self._count and now - max(self.last_request_at, self._recent_at) > _IDLE_SECONDS

    def start(self, work: float, at: float) -> None:
        """Count a request in that started then."""
        self._running += work
        self._count += 1
        self.last_request_at = max(self.last_request_at, at)

    def end(self, work: float, done: float, now: float) -> None:
        """Count a request out of which so much was done."""
        self._count -= 1
        # Sums of floats drift: without requests the sum is 0.
        self._running = max(0.0, self._running - work) if self._count else 0.0
        self._recent = self._recent_work(now) + done
        self._recent_at = now

    def _recent_work(self, now: float) -> float:
        return self._recent * math.exp(min(0.0, self._recent_at - now) / _RECENT_SECONDS)


@dataclass(frozen=True)
class TeamWork:
    """What one team had, and its weight."""

    work: float
    share: float


@dataclass(frozen=True)
class ActiveTeams:
    """The teams of one tier of a service that asked of late, as they stood at one moment."""

    computed_at: float
    teams: dict[int, TeamWork]
    work: float
    """Of all of them."""
    share: float


class Ledger:
    """The accounts of all teams."""

    def __init__(self) -> None:
        self._accounts: dict[tuple[str, int], dict[int, Account]] = {}
        self._running: dict[int, _Running] = {}
        self._asking: dict[tuple[str, int], ActiveTeams] = {}
        self._served: dict[tuple[str, int], ServedCounts] = {}

    def account(self, key: AccountKey) -> Account:
        """Return the account of a team, a new one for a team that is not known."""
        teams = self._accounts.setdefault((key.service, key.tier), {})
        found = teams.get(key.team)
        if found is None:
            found = teams[key.team] = Account()
        return found

    def served(self, key: AccountKey) -> ServedCounts:
        """Return how all teams of the tier were served."""
        return self._served.setdefault((key.service, key.tier), ServedCounts())

    def active_teams(self, key: AccountKey, now: float) -> ActiveTeams:
        """Return the teams of the tier that ask, as of some hundredths of a second ago."""
        place = (key.service, key.tier)
        found = self._asking.get(place)
        if found is None or not 0.0 <= now - found.computed_at < _LOOK_SECONDS:
            found = self._asking[place] = _look(self._accounts.get(place, {}), now)
        return found

    def highest_standings(self, now: float) -> list[AccountKey]:
        """Return the team with the most work beside its weight, for each service and tier."""
        return [
            AccountKey(service, tier, max(teams, key=lambda team: teams[team].standing(now)))
            for (service, tier), teams in self._accounts.items()
        ]

    def accounts_of_team(self, service: str, team: int) -> Iterator[Account]:
        """Yield the accounts of one team in all tiers of a service."""
        for (name, _), teams in self._accounts.items():
            if name == service and team in teams:
                yield teams[team]

    def start(
        self, request: int, key: AccountKey, work: float, since: float, seconds: float
    ) -> None:
        """Count in a request that started at `since` and is to run for some seconds."""
        if request in self._running:
            return
        self._running[request] = _Running(key, work, since, seconds)
        self.account(key).start(work, since)

    def end(self, request: int, ran: bool, now: float) -> None:
        """Count a request out; one that ended early has cost its part of the time predicted."""
        running = self._running.pop(request, None)
        if running is None:
            return
        part = min(1.0, (now - running.since) / max(running.seconds, 1e-3)) if ran else 0.0
        self.account(running.key).end(running.work, part * running.work, now)

    def forget(self, now: float) -> None:
        """Drop accounts that nobody uses."""
        for held, teams in list(self._accounts.items()):
            for team in [item for item, account in teams.items() if account.is_idle(now)]:
                del teams[team]
            if not teams:
                del self._accounts[held]


def _look(accounts: dict[int, Account], now: float) -> ActiveTeams:
    teams = {
        team: TeamWork(account.work(now), account.share)
        for team, account in accounts.items()
        if account.is_active(now)
    }
    work = sum(part.work for part in teams.values())
    return ActiveTeams(now, teams, work, sum(part.share for part in teams.values()))
