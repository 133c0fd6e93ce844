"""Accounts of the work that each team has had at a service, summed over the fleet. Pure.

The accounts are computed from the load updates of all gateways on the requests that they send, so
every scheduler holds the same sums, except for updates in transit. After a restart a sum is rebuilt
from the requests still running; recent work is lost with the process, but has almost no weight
after some ten seconds anyway.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.shares.served_counts import ServedCounts

if TYPE_CHECKING:
    from collections.abc import Iterator

_DECAY_SECONDS = 10.0
"""Time constant of the decay of past work, after which a third of it counts. Shorter than a burst,
so that a team with much work in it does not pay long after; longer than a request, so that work
that has just ended counts beside running work."""
_ACTIVE_SECONDS = 5.0
"""Time after a request for which its team counts as active, that is, as likely to send another."""
_CACHE_SECONDS = 0.03
"""Time for which the set of active teams is cached: queued requests look it up some thirty times a
second each, and load updates of other gateways are as old."""
_IDLE_SECONDS = 60.0
"""Time after which an account without work is dropped."""


@dataclass(frozen=True)
class AccountKey:
    """Key of a team's account in one tier of one service; `team` is the team's number."""

    service: str
    tier: int
    team: int


@dataclass(frozen=True)
class _Running:
    """A running request."""

    key: AccountKey
    work: float
    since: float
    seconds: float
    """Expected run time."""


class Account:
    """The work of one team in one tier of one service."""

    def __init__(self) -> None:
        self.share = 1.0
        """Weight of the team relative to other teams."""
        self.last_request_at = -math.inf
        self.served = ServedCounts()
        self._running = 0.0
        self._running_count = 0
        self._recent = 0.0
        self._recent_at = 0.0

    def work(self, now: float) -> float:
        """Return the sum of the running work and the decayed past work."""
        return self._running + self._recent_work(now)

    def standing(self, now: float) -> float:
        """Return the work divided by the weight; the team with the lowest standing goes first."""
        return self.work(now) / self.share

    def is_active(self, now: float) -> bool:
        """Return whether the team has sent a request recently."""
        return now - self.last_request_at < _ACTIVE_SECONDS

    def is_idle(self, now: float) -> bool:
        """Return whether the account may be dropped."""
        return (
            not self._running_count
            and now - max(self.last_request_at, self._recent_at) > _IDLE_SECONDS
        )

    def start(self, work: float, at: float) -> None:
        """Add a request that started at `at`."""
        self._running += work
        self._running_count += 1
        self.last_request_at = max(self.last_request_at, at)

    def end(self, work: float, done: float, now: float) -> None:
        """Remove a request of which `done` of the predicted `work` was done."""
        self._running_count -= 1
        # Sums of floats drift, so the sum is reset to 0 when no request runs.
        self._running = max(0.0, self._running - work) if self._running_count else 0.0
        self._recent = self._recent_work(now) + done
        self._recent_at = now

    def _recent_work(self, now: float) -> float:
        return self._recent * math.exp(min(0.0, self._recent_at - now) / _DECAY_SECONDS)


@dataclass(frozen=True)
class TeamWork:
    """Work and weight of one team."""

    work: float
    share: float


@dataclass(frozen=True)
class ActiveTeams:
    """Snapshot of the active teams of one tier of a service."""

    computed_at: float
    teams: dict[int, TeamWork]
    work: float
    """Total work of these teams."""
    share: float


class Ledger:
    """The accounts of all teams."""

    def __init__(self) -> None:
        self._accounts: dict[tuple[str, int], dict[int, Account]] = {}
        self._running: dict[int, _Running] = {}
        self._active_teams: dict[tuple[str, int], ActiveTeams] = {}
        self._served: dict[tuple[str, int], ServedCounts] = {}

    def account(self, key: AccountKey) -> Account:
        """Return the account of a team; create it for an unknown team."""
        teams = self._accounts.setdefault((key.service, key.tier), {})
        team_account = teams.get(key.team)
        if team_account is None:
            team_account = teams[key.team] = Account()
        return team_account

    def served(self, key: AccountKey) -> ServedCounts:
        """Return the counts of all teams of the tier together."""
        return self._served.setdefault((key.service, key.tier), ServedCounts())

    def active_teams(self, key: AccountKey, now: float) -> ActiveTeams:
        """Return the active teams of the tier, cached for some hundredths of a second."""
        tier_key = (key.service, key.tier)
        cached = self._active_teams.get(tier_key)
        if cached is None or not 0.0 <= now - cached.computed_at < _CACHE_SECONDS:
            cached = self._active_teams[tier_key] = _compute_active_teams(
                self._accounts.get(tier_key, {}), now
            )
        return cached

    def highest_standings(self, now: float) -> list[AccountKey]:
        """Return the team with the highest standing, for each service and tier."""
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
        """Add a request that started at `since` and is expected to run for `seconds`."""
        if request in self._running:
            return
        self._running[request] = _Running(key, work, since, seconds)
        self.account(key).start(work, since)

    def end(self, request: int, ran: bool, now: float) -> None:
        """Remove a request; if it ended early, charge its fraction of the predicted time."""
        running = self._running.pop(request, None)
        if running is None:
            return
        done_fraction = min(1.0, (now - running.since) / max(running.seconds, 1e-3)) if ran else 0.0
        self.account(running.key).end(running.work, done_fraction * running.work, now)

    def forget(self, now: float) -> None:
        """Drop idle accounts."""
        for group, teams in list(self._accounts.items()):
            for team in [item for item, account in teams.items() if account.is_idle(now)]:
                del teams[team]
            if not teams:
                del self._accounts[group]


def _compute_active_teams(accounts: dict[int, Account], now: float) -> ActiveTeams:
    teams = {
        team: TeamWork(account.work(now), account.share)
        for team, account in accounts.items()
        if account.is_active(now)
    }
    work = sum(team_work.work for team_work in teams.values())
    return ActiveTeams(now, teams, work, sum(part.share for part in teams.values()))
