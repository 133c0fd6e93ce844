"""The requests that wait in one cell, by tier, team and class."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from sortedcontainers import SortedList

from lotushill.dispatch.fair_share import FairShare

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator

    from lotushill.dispatch.messages import Ask

ClassKey = tuple[str, str, str]
"""Team, service and class."""
_NO_EXPIRY = float("inf")


@dataclass
class Waiting:
    """One ask in the queue."""

    ask: Ask
    since: float
    expires: float
    """When it is given up: its deadline, or its target if it asked for early refusal."""
    expected_tokens: float
    """Prompt and expected output tokens, by which shares are charged."""

    @property
    def class_key(self) -> ClassKey:
        """Return the team, service and class."""
        return (self.ask.team, self.ask.service, self.ask.klass)


@dataclass
class _Tier:
    """The queues of one tier: classes by team, and the shares of both."""

    teams: dict[str, dict[ClassKey, OrderedDict[str, Waiting]]] = field(default_factory=dict)
    team_shares: FairShare[str] = field(default_factory=FairShare)
    order: SortedList[tuple[float, str]] = field(default_factory=SortedList)
    """The teams that have someone waiting, by the level of their share."""
    class_shares: dict[str, FairShare[ClassKey]] = field(default_factory=dict)
    size: int = 0


class WaitingRoom:
    """Queues in strict tiers; within a tier in weighted fair shares; within a class in order."""

    def __init__(self) -> None:
        self._tiers: dict[int, _Tier] = {}
        self._by_request: dict[str, Waiting] = {}
        self._expiries: SortedList[tuple[float, str]] = SortedList()
        self._class_sizes: dict[ClassKey, int] = {}

    def __len__(self) -> int:
        return len(self._by_request)

    def __iter__(self) -> Iterator[Waiting]:
        return iter(list(self._by_request.values()))

    def get(self, request: str) -> Waiting | None:
        """Return the waiting entry of a request, or None."""
        return self._by_request.get(request)

    def tiers(self) -> list[int]:
        """Return the tiers that have someone waiting, the highest first."""
        return sorted(tier for tier, queue in self._tiers.items() if queue.size)

    def size(self, tier: int) -> int:
        """Return how many wait in a tier."""
        queue = self._tiers.get(tier)
        return queue.size if queue else 0

    def ahead(self, tier: int) -> int:
        """Return how many wait in a tier and all higher ones."""
        return sum(queue.size for rank, queue in self._tiers.items() if rank <= tier)

    def class_size(self, key: ClassKey) -> int:
        """Return how many of a class wait, in all tiers."""
        return self._class_sizes.get(key, 0)

    def classes(self) -> list[tuple[int, ClassKey]]:
        """Return every tier and class that has someone waiting."""
        return [
            (rank, key)
            for rank, queue in sorted(self._tiers.items())
            for classes in queue.teams.values()
            for key in classes
        ]

    def put(self, waiting: Waiting) -> None:
        """Add a request at the end of its class."""
        ask = waiting.ask
        queue = self._tiers.setdefault(ask.tier, _Tier())
        if ask.team not in queue.teams:
            lowest = [queue.order[0][1]] if queue.order else []
            queue.team_shares.enter(ask.team, lowest)
            queue.order.add((queue.team_shares.level(ask.team), ask.team))
        classes = queue.teams.setdefault(ask.team, {})
        key = waiting.class_key
        if key not in classes:
            shares = queue.class_shares.setdefault(ask.team, FairShare())
            shares.enter(key, list(classes))
        members = classes.setdefault(key, OrderedDict())
        members[ask.request] = waiting
        if ask.resumed_tokens:
            # What has been begun goes on first: only whole answers are worth anything.
            members.move_to_end(ask.request, last=False)
        queue.size += 1
        self._class_sizes[key] = self._class_sizes.get(key, 0) + 1
        self._by_request[ask.request] = waiting
        if waiting.expires != _NO_EXPIRY:
            self._expiries.add((waiting.expires, ask.request))

    def remove(self, request: str) -> Waiting | None:
        """Take a request out, wherever it stands; None if it does not wait here."""
        waiting = self._by_request.pop(request, None)
        if waiting is None:
            return None
        queue = self._tiers[waiting.ask.tier]
        classes = queue.teams[waiting.ask.team]
        key = waiting.class_key
        del classes[key][request]
        if not classes[key]:
            del classes[key]
        if not classes:
            team = waiting.ask.team
            del queue.teams[team]
            queue.order.remove((queue.team_shares.level(team), team))
        queue.size -= 1
        self._class_sizes[key] -= 1
        if not self._class_sizes[key]:
            del self._class_sizes[key]
        self._expiries.discard((waiting.expires, request))
        return waiting

    def heads(self, tier: int) -> Iterator[Waiting]:
        """Yield the first of each class of a tier, the class next in its share first.

        Stop iterating before anything is put, removed or charged.
        """
        queue = self._tiers.get(tier)
        if queue is None:
            return
        for index in range(len(queue.order)):
            team = queue.order[index][1]
            classes = queue.teams[team]
            for key in _by_share(queue.class_shares[team], classes):
                yield next(iter(classes[key].values()))

    def head(self, tier: int, key: ClassKey) -> Waiting | None:
        """Return the first of one class, or None."""
        queue = self._tiers.get(tier)
        members = queue.teams.get(key[0], {}).get(key) if queue else None
        return next(iter(members.values())) if members else None

    def last_over_share(self, tier: int) -> Waiting | None:
        """Return the newest request of the class most above its share in a tier."""
        queue = self._tiers.get(tier)
        if queue is None or not queue.size:
            return None
        team = max(queue.teams, key=lambda name: (self._load(queue, name), name))
        classes = queue.teams[team]
        key = max(classes, key=lambda name: (len(classes[name]), name))
        return next(reversed(classes[key].values()))

    def charge(self, waiting: Waiting, tokens: float) -> None:
        """Charge tokens to the team and class of a request; negative tokens correct."""
        ask = waiting.ask
        queue = self._tiers.setdefault(ask.tier, _Tier())
        busy = ask.team in queue.teams
        if busy:
            queue.order.remove((queue.team_shares.level(ask.team), ask.team))
        queue.team_shares.charge(ask.team, tokens, ask.team_weight)
        if busy:
            queue.order.add((queue.team_shares.level(ask.team), ask.team))
        shares = queue.class_shares.setdefault(ask.team, FairShare())
        shares.charge(waiting.class_key, tokens, ask.class_weight)

    def expired(self, now: float) -> list[Waiting]:
        """Return the requests whose time is up, the earliest first; they stay in."""
        found: list[Waiting] = []
        for expires, request in self._expiries:
            if expires > now:
                break
            found.append(self._by_request[request])
        return found

    @staticmethod
    def _load(queue: _Tier, team: str) -> float:
        waiting = [item for members in queue.teams[team].values() for item in members.values()]
        weight = waiting[0].ask.team_weight
        return sum(item.expected_tokens for item in waiting) / weight


def _by_share(shares: FairShare[ClassKey], classes: Collection[ClassKey]) -> list[ClassKey]:
    """Return classes in the order of their shares."""
    if len(classes) == 1:
        return list(classes)
    return sorted(classes, key=lambda name: (shares.level(name), name))
