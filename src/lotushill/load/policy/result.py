"""What became of the requests of a replay."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.load.policy.client import Client
    from lotushill.load.policy.scenario import Scenario

_TIER_SECONDS = 5.0
_TIER_LEAST = 10
_TIER_SHARE = 1.0 / 12.0
_TIER_TIMES = 2.0
"""Within so many seconds, so many requests and more than this share of their kind may not get
nothing while less urgent ones of so many times their size begin."""


@dataclass
class Tally:
    """What became of the requests of one class."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    """For good."""
    refused_once: int = 0
    """Told to come back."""
    failed: int = 0
    why: Counter[str] = field(default_factory=Counter)
    """What made them late, or ended them."""
    earned: float = 0.0
    owed: float = 0.0

    @property
    def share(self) -> float:
        """Return the credit earned of the credit owed."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass(frozen=True)
class PutBehind:
    """A kind of request got nothing for some seconds while less urgent, larger ones began."""

    name: str
    second: int
    asked: int
    nothing: int
    larger: int


@dataclass
class Result:
    """What one play showed."""

    classes: dict[str, Tally]
    windows: dict[int, Tally]
    """By two seconds of arrival."""
    put_behind: list[PutBehind]
    turned_away: int = 0
    """Requests that engines refused with a wish for rest."""
    teams: dict[str, Tally] = field(default_factory=dict)
    """By team, empty where requests name none."""
    bursting: frozenset[str] = frozenset()
    """Teams that ask more than usual."""
    served_impatient: float = 0.0
    """Share of those that came back at once and often, whatever they were told."""
    served_patient: float = 0.0
    """Share of all others."""
    shed: int = 0
    """Requests that engines refused since too many waited there."""
    sent: int = 0
    """Requests that were sent to engines, each as often as it was sent."""
    work: list[float] = field(default_factory=list)
    """What each engine has done, in seconds of all that it can do."""

    @property
    def refused_again(self) -> float:
        """Return the share of those that were refused once that were refused for good."""
        once = sum(item.refused_once for item in self.classes.values())
        return sum(item.refused for item in self.classes.values()) / max(1, once)

    @property
    def served(self) -> int:
        """Return how many got a whole answer, in time or late."""
        return sum(item.in_time + item.late for item in self.classes.values())

    @property
    def busiest(self) -> float:
        """Return the work of the busiest engine by the mean of all."""
        mean = sum(self.work) / max(1, len(self.work))
        return max(self.work) / mean if mean else 1.0

    @property
    def credit(self) -> float:
        """Return the share of all credit that was earned."""
        owed = sum(item.owed for item in self.classes.values())
        return sum(item.earned for item in self.classes.values()) / owed if owed else 1.0

    def other_teams(self) -> list[float]:
        """Return the share of the credit of each team that asks no more than usual, least first."""
        found = [tally.share for name, tally in self.teams.items() if name not in self.bursting]
        return sorted(found)

    def worst_windows(self) -> float:
        """Return the mean of the two worst windows."""
        shares = sorted(item.share for item in self.windows.values() if item.asked)
        return sum(shares[:2]) / max(1, len(shares[:2]))


def share_served(clients: Sequence[Client], impatient: bool) -> float:
    """Return the share that was served of those that are impatient, or of those that are not."""
    own = [client for client in clients if client.impatient is impatient]
    return sum(client.served for client in own) / max(1, len(own))


def put_behind(scenario: Scenario, clients: Sequence[Client]) -> list[PutBehind]:
    """Return where requests got nothing while larger ones that are less urgent began."""
    found = []
    for kind in scenario.classes:
        own = [client for client in clients if client.kind is kind]
        size = kind.prompt + kind.shared
        for second in range(int(scenario.seconds - _TIER_SECONDS) + 1):
            ends = second + _TIER_SECONDS
            asked = [client for client in own if second <= client.arrived < ends]
            nothing = sum(not client.served for client in asked)
            if nothing < _TIER_LEAST or nothing <= _TIER_SHARE * len(asked):
                continue
            larger = sum(
                client.kind.tier > kind.tier
                and client.need.prompt_tokens > _TIER_TIMES * size
                and second <= client.began_at < ends
                for client in clients
            )
            if larger:
                found.append(PutBehind(kind.name, second, len(asked), nothing, larger))
    return found
