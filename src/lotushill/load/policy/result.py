"""Results of a replay: the outcomes of its requests, by class, window and team."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.load.policy.client import Client
    from lotushill.load.policy.scenario import Scenario

_PUT_BEHIND_WINDOW_SECONDS = 5.0
_MIN_UNSERVED = 10
_MIN_UNSERVED_FRACTION = 1.0 / 12.0
_MIN_SIZE_FACTOR = 2.0
"""Conditions under which requests count as put behind less urgent, larger ones.

Within the window, at least `_MIN_UNSERVED` requests of a class and more than the fraction
`_MIN_UNSERVED_FRACTION` of them get no answer, while less urgent requests of more than
`_MIN_SIZE_FACTOR` times their size begin.
"""


@dataclass
class Tally:
    """Counts of request outcomes in one class, window or team."""

    asked: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    """Requests that were refused finally, without a further try."""
    refused_once: int = 0
    """Requests that were refused on their first try and received a retry time."""
    failed: int = 0
    causes: Counter[str] = field(default_factory=Counter)
    """Causes of late and failed requests, with their counts."""
    earned: float = 0.0
    owed: float = 0.0

    @property
    def credit_fraction(self) -> float:
        """Return the credit earned as a fraction of the credit owed."""
        return self.earned / self.owed if self.owed else 1.0


@dataclass(frozen=True)
class PutBehind:
    """A period in which requests of a class got no answer while less urgent, larger ones began."""

    name: str
    second: int
    asked: int
    unserved: int
    larger: int


@dataclass
class Result:
    """The results of one play."""

    classes: dict[str, Tally]
    windows: dict[int, Tally]
    """Counts by arrival time, in windows of two seconds keyed by their start."""
    put_behind: list[PutBehind]
    cooldown_refusals: int = 0
    """Number of requests that engines refused with a request for a cooldown."""
    teams: dict[str, Tally] = field(default_factory=dict)
    """Counts by team, empty if requests name no team."""
    bursting: frozenset[str] = frozenset()
    """Teams that send more requests than usual."""
    impatient_served_fraction: float = 0.0
    """Served fraction of the clients that returned at once and often, ignoring retry times."""
    patient_served_fraction: float = 0.0
    """Served fraction of all other clients."""
    full_queue_refusals: int = 0
    """Number of requests that engines refused because their queues were full."""
    sent: int = 0
    """Number of sends to engines; a request that was sent repeatedly counts each time."""
    work_seconds: list[float] = field(default_factory=list)
    """Work that each engine has done, in seconds of its full capacity."""

    @property
    def refused_again_fraction(self) -> float:
        """Return the fraction of the requests refused once that were refused finally."""
        once = sum(item.refused_once for item in self.classes.values())
        return sum(item.refused for item in self.classes.values()) / max(1, once)

    @property
    def served(self) -> int:
        """Return the number of requests with a complete answer, on time or late."""
        return sum(item.in_time + item.late for item in self.classes.values())

    @property
    def busiest_ratio(self) -> float:
        """Return the work of the busiest engine relative to the mean of all engines."""
        mean = sum(self.work_seconds) / max(1, len(self.work_seconds))
        return max(self.work_seconds) / mean if mean else 1.0

    @property
    def credit(self) -> float:
        """Return the fraction of all credit that was earned."""
        owed = sum(item.owed for item in self.classes.values())
        return sum(item.earned for item in self.classes.values()) / owed if owed else 1.0

    def other_team_credits(self) -> list[float]:
        """Return the earned fractions of the credit of teams without a burst, ascending."""
        credits = [
            tally.credit_fraction for name, tally in self.teams.items() if name not in self.bursting
        ]
        return sorted(credits)

    def worst_windows_credit(self) -> float:
        """Return the mean earned fraction of the two worst windows."""
        fractions = sorted(item.credit_fraction for item in self.windows.values() if item.asked)
        return sum(fractions[:2]) / max(1, len(fractions[:2]))


def served_fraction(clients: Sequence[Client], impatient: bool) -> float:
    """Return the served fraction of the impatient clients, or of the patient ones."""
    group = [client for client in clients if client.impatient is impatient]
    return sum(client.served for client in group) / max(1, len(group))


def find_put_behind(scenario: Scenario, clients: Sequence[Client]) -> list[PutBehind]:
    """Return the periods in which requests got no answer while less urgent, larger ones began."""
    periods = []
    for kind in scenario.classes:
        class_clients = [client for client in clients if client.kind is kind]
        size = kind.prompt + kind.shared
        for second in range(int(scenario.seconds - _PUT_BEHIND_WINDOW_SECONDS) + 1):
            ends = second + _PUT_BEHIND_WINDOW_SECONDS
            asked = [client for client in class_clients if second <= client.arrived < ends]
            unserved = sum(not client.served for client in asked)
            if unserved < _MIN_UNSERVED or unserved <= _MIN_UNSERVED_FRACTION * len(asked):
                continue
            larger = sum(
                client.kind.tier > kind.tier
                and client.need.prompt_tokens > _MIN_SIZE_FACTOR * size
                and second <= client.began_at < ends
                for client in clients
            )
            if larger:
                periods.append(PutBehind(kind.name, second, len(asked), unserved, larger))
    return periods
