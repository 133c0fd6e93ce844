"""Decides which groups of requests are isolated because upstreams fail during them.

The module has no side effects.

The target load is one caller whose requests each crash the upstream that starts them, with a
different body each time, so that no request is repeated. A few such requests per second leave
hardly any other request served.

An upstream fails with all requests that run there, so busy groups are present at every failure.
Three signs distinguish the cause from them: an upstream fails when it starts the cause, so the
cause never had an event; hardly any request of the cause completes; and of nested groups, the
smallest that was present at the failures explains them.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from lotushill.quarantine.recent_counts import RecentCounts

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.quarantine.group import Group

ROUNDS_TO_ISOLATE = 3
"""Number of rounds of failures after which a group is isolated.

Rounds are a second or more apart, since a hall that loses power ends many upstreams at once.
"""
_ROUND_SECONDS = 1.0
_WINDOW_SECONDS = 10.0
"""Seconds over which failures and completions are compared."""
_WHOLE_PER_END = 2.0
"""Completions per failure above which a group counts as a bystander.

Hardly any request of a bystander is interrupted before its first event.
"""
_EXPLAINED_SHARE = 0.6
"""Fraction of the failures of a group at which a group within it was present as well.

From this fraction on, the smaller group explains the failures.
"""
_TERM_SECONDS = 20.0
"""Seconds for which a group stays isolated once it may be tried again.

At least one request has run by then.
"""
_FIRST_PAUSE_SECONDS = 1.0
_LONGEST_PAUSE_SECONDS = 30.0
"""Upper limit in seconds of the pause after a failure during isolation.

After each failure of an upstream during an isolated group, no request of the group is tried for a
pause that doubles: a group that ran alone is confirmed as the cause.
"""
_LONGEST_TERM_SECONDS = _TERM_SECONDS + _LONGEST_PAUSE_SECONDS
_MOST_GROUPS = 512
_MOST_ENDS = 16
_WHOLE_TOLD = 3 * _MOST_ENDS
"""Number of completions that gateways report in response to failures.

It is above the number that suffices: when half of all upstreams fail at once, their failures
arrive before the completions of the bystanders.
"""


@dataclass(frozen=True)
class IsolationTerm:
    """The remaining isolation time of a group and the pause after its next failure, in seconds."""

    left: float
    pause: float


@dataclass(frozen=True)
class _Told:
    """The number of completions that a gateway reported, and the time of the report."""

    count: int
    at: float


@dataclass
class _Evidence:
    """The evidence on one group; times are those of a monotonic clock."""

    ends: dict[str, float] = field(default_factory=dict)
    """Upstreams that failed during the group, with the time of the report."""
    whole: dict[str, _Told] = field(default_factory=dict)
    """The recent completions of the group, as reported by each gateway."""
    until: float = float("-inf")
    """Time at which the isolation ends."""
    tried_after: float = float("-inf")
    pause: float = _FIRST_PAUSE_SECONDS

    def rounds(self, now: float) -> int:
        found, last = 0, float("-inf")
        for at in sorted(self.ends.values()):
            if now - at < _WINDOW_SECONDS and at - last >= _ROUND_SECONDS:
                found, last = found + 1, at
        return found

    def recent(self, now: float) -> set[str]:
        return {name for name, at in self.ends.items() if now - at < _WINDOW_SECONDS}

    def whole_of_late(self, now: float) -> int:
        """Return the completions of recent reports; a harmless group may become harmful."""
        return sum(told.count for told in self.whole.values() if now - told.at < _WINDOW_SECONDS)

    def is_mostly_whole(self, now: float) -> bool:
        return self.whole_of_late(now) > _WHOLE_PER_END * len(self.recent(now))

    @property
    def shown(self) -> bool:
        """Whether an upstream failed during the group while it was isolated."""
        return self.pause > _FIRST_PAUSE_SECONDS


class Isolation:
    """Evidence against groups, from local observation and peers; the time is an argument."""

    def __init__(self) -> None:
        self._evidence: OrderedDict[Group, _Evidence] = OrderedDict()
        self._whole: RecentCounts[Group] = RecentCounts(_WINDOW_SECONDS, _MOST_GROUPS)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence against any group."""
        return not self._evidence

    def record_completion(self, groups: Iterable[Group], now: float) -> None:
        """Record that a request of these groups completed at this gateway."""
        for group in groups:
            self._whole.note(group, now)

    def completion_count(self, group: Group, now: float) -> int:
        """Return the number of recent completions of a group at this gateway."""
        return self._whole.count(group, now)

    def record_upstream_failure(
        self, group: Group, upstream: str, reporter: str, completions: int, now: float
    ) -> bool:
        """Record that an upstream failed before a request of a group had its first event.

        `teller` is the gateway that observed the failure, and `whole` the number of recent
        completions of the group there. Return whether the group is isolated from now on.
        """
        evidence = self._of(group, now)
        self.record_peer_completions(group, reporter, completions, now)
        if upstream in evidence.ends:
            return False
        evidence.ends[upstream] = now
        while len(evidence.ends) > _MOST_ENDS:
            del evidence.ends[next(iter(evidence.ends))]
        if now < evidence.until:
            evidence.tried_after = now + evidence.pause
            evidence.until = evidence.tried_after + _TERM_SECONDS
            evidence.pause = min(_LONGEST_PAUSE_SECONDS, 2.0 * evidence.pause)
            return False
        if not self._is_cause(group, evidence, now):
            return False
        evidence.until = now + _TERM_SECONDS
        return True

    def record_peer_completions(
        self, group: Group, reporter: str, completions: int, now: float
    ) -> None:
        """Store the number of recent completions of a group that a gateway reports."""
        evidence = self._evidence.get(group)
        if evidence is None:
            return
        evidence.whole[reporter] = _Told(completions, now)
        if not evidence.shown and evidence.is_mostly_whole(now):
            evidence.until = float("-inf")

    def adopt(self, group: Group, seconds: float, pause: float, now: float) -> bool:
        """Isolate a group for as long as a peer does; return whether that is new.

        The isolation is not adopted if the completions known here show that the group is harmless.
        """
        evidence = self._of(group, now)
        if evidence.is_mostly_whole(now):
            return False
        was_apart = now < evidence.until
        evidence.until = max(evidence.until, now + min(_LONGEST_TERM_SECONDS, seconds))
        evidence.pause = max(evidence.pause, min(_LONGEST_PAUSE_SECONDS, pause))
        return not was_apart

    def isolation_terms(self, now: float) -> dict[Group, IsolationTerm]:
        """Return all isolated groups with the remaining time of their isolation."""
        return {
            group: IsolationTerm(item.until - now, item.pause)
            for group, item in self._evidence.items()
            if now < item.until
        }

    def needs_completion_reports(self, group: Group, now: float) -> bool:
        """Return whether completions that were not reported yet could clear a group."""
        evidence = self._evidence.get(group)
        return evidence is not None and evidence.whole_of_late(now) < _WHOLE_TOLD

    def _is_cause(self, group: Group, evidence: _Evidence, now: float) -> bool:
        if evidence.rounds(now) < ROUNDS_TO_ISOLATE or evidence.is_mostly_whole(now):
            return False
        ends = evidence.recent(now)
        return not any(
            len(ends & item.recent(now)) >= _EXPLAINED_SHARE * len(ends)
            for other, item in self._evidence.items()
            if other.is_within(group)
        )

    def is_isolated(self, groups: Iterable[Group], now: float) -> bool:
        """Return whether a request of these groups is isolated."""
        return any(now < self._until(group) for group in groups)

    def retry_delay(self, groups: Iterable[Group], now: float) -> float:
        """Return the seconds until a request of these groups may be tried again."""
        found = (self._evidence[group] for group in groups if group in self._evidence)
        return max([0.0, *(item.tried_after - now for item in found if now < item.until)])

    def isolated_services(self, now: float) -> frozenset[str]:
        """Return the services that have an isolated group."""
        return frozenset(group.service for group in self.isolated_groups(now))

    def isolated_groups(self, now: float) -> list[Group]:
        """Return all isolated groups."""
        return [group for group, item in self._evidence.items() if now < item.until]

    def expire(self, now: float) -> None:
        """Remove the evidence on groups that have had no upstream failure for some time."""
        old = [
            group
            for group, item in self._evidence.items()
            if now >= item.until and all(now - at >= _WINDOW_SECONDS for at in item.ends.values())
        ]
        for group in old:
            del self._evidence[group]

    def _until(self, group: Group) -> float:
        found = self._evidence.get(group)
        return found.until if found is not None else float("-inf")

    def _of(self, group: Group, now: float) -> _Evidence:
        found = self._evidence.get(group)
        if found is None:
            if len(self._evidence) >= _MOST_GROUPS:
                self._forget_one(now)
            found = self._evidence[group] = _Evidence()
        self._evidence.move_to_end(group)
        return found

    def _forget_one(self, now: float) -> None:
        """Evict the least recently updated group; isolated ones only if there are no others."""
        loose = (group for group, item in self._evidence.items() if now >= item.until)
        del self._evidence[next(loose, next(iter(self._evidence)))]
