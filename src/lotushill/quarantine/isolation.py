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
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable

    from lotushill.quarantine.group import Group

FAILURE_ROUNDS_TO_ISOLATE = 3
"""Number of rounds of failures after which a group is isolated.

Rounds are a second or more apart, since a hall that loses power ends many upstreams at once.
"""
_ROUND_SECONDS = 1.0
_WINDOW_SECONDS = 10.0
"""Seconds over which failures and completions are compared."""
_BYSTANDER_COMPLETIONS_PER_FAILURE = 2.0
"""Completions per failure above which a group counts as a bystander.

Hardly any request of a bystander is interrupted before its first event.
"""
_EXPLAINED_FRACTION = 0.6
"""Fraction of the failures of a group at which a group within it was present as well.

From this fraction on, the smaller group explains the failures.
"""
_TERM_SECONDS = 20.0
"""Seconds for which a group stays isolated once it may be tried again.

At least one request has run by then.
"""
_FIRST_PAUSE_SECONDS = 1.0
_MAX_PAUSE_SECONDS = 30.0
"""Upper limit in seconds of the pause after a failure during isolation.

After each failure of an upstream during an isolated group, no request of the group is tried for a
pause that doubles: a group that ran alone is confirmed as the cause.
"""
_MAX_TERM_SECONDS = _TERM_SECONDS + _MAX_PAUSE_SECONDS
_MAX_GROUPS = 512
_MAX_FAILURES = 16
_REPORTED_COMPLETIONS = 3 * _MAX_FAILURES
"""Number of completions that gateways report in response to failures.

It is above the number that suffices: when half of all upstreams fail at once, their failures
arrive before the completions of the bystanders.
"""


@dataclass(frozen=True)
class IsolationTerm:
    """The remaining isolation time of a group and the pause after its next failure, in seconds."""

    remaining_seconds: float
    pause_seconds: float


@dataclass(frozen=True)
class _CompletionReport:
    """The number of completions that a gateway reported, and the time of the report."""

    count: int
    at: float


@dataclass
class _Evidence:
    """The evidence on one group; times are those of a monotonic clock."""

    failed_upstreams: dict[str, float] = field(default_factory=dict)
    """Upstreams that failed during the group, with the time of the report."""
    completion_reports: dict[str, _CompletionReport] = field(default_factory=dict)
    """The recent completions of the group, as reported by each gateway."""
    isolated_until: float = float("-inf")
    """Time at which the isolation ends."""
    paused_until: float = float("-inf")
    pause: float = _FIRST_PAUSE_SECONDS

    def rounds(self, now: float) -> int:
        rounds, last = 0, float("-inf")
        for at in sorted(self.failed_upstreams.values()):
            if now - at < _WINDOW_SECONDS and at - last >= _ROUND_SECONDS:
                rounds, last = rounds + 1, at
        return rounds

    def recent_failures(self, now: float) -> set[str]:
        return {name for name, at in self.failed_upstreams.items() if now - at < _WINDOW_SECONDS}

    def recent_completions(self, now: float) -> int:
        """Return the completions, without old reports, as a harmless group may become harmful."""
        return sum(
            report.count
            for report in self.completion_reports.values()
            if now - report.at < _WINDOW_SECONDS
        )

    def is_mostly_completed(self, now: float) -> bool:
        return self.recent_completions(now) > _BYSTANDER_COMPLETIONS_PER_FAILURE * len(
            self.recent_failures(now)
        )

    @property
    def is_confirmed_cause(self) -> bool:
        """Whether an upstream failed during the group while it was isolated."""
        return self.pause > _FIRST_PAUSE_SECONDS


class Isolation:
    """Evidence against groups, from local observation and peers; the time is an argument."""

    def __init__(
        self, is_explained: Callable[[Collection[str]], bool] = lambda failures: False
    ) -> None:
        """Isolate no group if `is_explained` returns True for the upstreams that failed."""
        self._is_explained = is_explained
        self._evidence: OrderedDict[Group, _Evidence] = OrderedDict()
        self._completions: RecentCounts[Group] = RecentCounts(_WINDOW_SECONDS, _MAX_GROUPS)

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence against any group."""
        return not self._evidence

    def record_completion(self, groups: Iterable[Group], now: float) -> None:
        """Record that a request of these groups completed at this gateway."""
        for group in groups:
            self._completions.add(group, now)

    def completion_count(self, group: Group, now: float) -> int:
        """Return the number of recent completions of a group at this gateway."""
        return self._completions.count(group, now)

    def record_upstream_failure(
        self, group: Group, upstream: str, reporter: str, completions: int, now: float
    ) -> bool:
        """Record that an upstream failed before a request of a group had its first event.

        `reporter` is the gateway that observed the failure, and `completions` the number of recent
        completions of the group there. Return whether the group is isolated from now on.
        """
        evidence = self._evidence_of(group, now)
        self.record_peer_completions(group, reporter, completions, now)
        if upstream in evidence.failed_upstreams:
            return False
        evidence.failed_upstreams[upstream] = now
        while len(evidence.failed_upstreams) > _MAX_FAILURES:
            del evidence.failed_upstreams[next(iter(evidence.failed_upstreams))]
        if now < evidence.isolated_until:
            evidence.paused_until = now + evidence.pause
            evidence.isolated_until = evidence.paused_until + _TERM_SECONDS
            evidence.pause = min(_MAX_PAUSE_SECONDS, 2.0 * evidence.pause)
            return False
        if not self._is_cause(group, evidence, now):
            return False
        evidence.isolated_until = now + _TERM_SECONDS
        return True

    def record_peer_completions(
        self, group: Group, reporter: str, completions: int, now: float
    ) -> None:
        """Store the number of recent completions of a group that a gateway reports."""
        evidence = self._evidence.get(group)
        if evidence is None:
            return
        evidence.completion_reports[reporter] = _CompletionReport(completions, now)
        if not evidence.is_confirmed_cause and evidence.is_mostly_completed(now):
            evidence.isolated_until = float("-inf")

    def adopt(self, group: Group, seconds: float, pause: float, now: float) -> bool:
        """Isolate a group for as long as a peer does; return whether that is new.

        The isolation is not adopted if the completions known here show that the group is harmless.
        """
        evidence = self._evidence_of(group, now)
        if evidence.is_mostly_completed(now):
            return False
        was_isolated = now < evidence.isolated_until
        evidence.isolated_until = max(
            evidence.isolated_until, now + min(_MAX_TERM_SECONDS, seconds)
        )
        evidence.pause = max(evidence.pause, min(_MAX_PAUSE_SECONDS, pause))
        return not was_isolated

    def isolation_terms(self, now: float) -> dict[Group, IsolationTerm]:
        """Return all isolated groups with the remaining time of their isolation."""
        return {
            group: IsolationTerm(item.isolated_until - now, item.pause)
            for group, item in self._evidence.items()
            if now < item.isolated_until
        }

    def needs_completion_reports(self, group: Group, now: float) -> bool:
        """Return whether completions that were not reported yet could clear a group."""
        evidence = self._evidence.get(group)
        return evidence is not None and evidence.recent_completions(now) < _REPORTED_COMPLETIONS

    def _is_cause(self, group: Group, evidence: _Evidence, now: float) -> bool:
        if evidence.rounds(now) < FAILURE_ROUNDS_TO_ISOLATE or evidence.is_mostly_completed(now):
            return False
        failures = evidence.recent_failures(now)
        if self._is_explained(failures):
            return False
        return not any(
            len(failures & item.recent_failures(now)) >= _EXPLAINED_FRACTION * len(failures)
            for other, item in self._evidence.items()
            if other.is_within(group)
        )

    def is_isolated(self, groups: Iterable[Group], now: float) -> bool:
        """Return whether a request of these groups is isolated."""
        return any(now < self._isolated_until(group) for group in groups)

    def retry_delay(self, groups: Iterable[Group], now: float) -> float:
        """Return the seconds until a request of these groups may be tried again."""
        evidence = (self._evidence[group] for group in groups if group in self._evidence)
        return max(
            [0.0, *(item.paused_until - now for item in evidence if now < item.isolated_until)]
        )

    def isolated_services(self, now: float) -> frozenset[str]:
        """Return the services that have an isolated group."""
        return frozenset(group.service for group in self.isolated_groups(now))

    def isolated_groups(self, now: float) -> list[Group]:
        """Return all isolated groups."""
        return [group for group, item in self._evidence.items() if now < item.isolated_until]

    def expire(self, now: float) -> None:
        """Remove the evidence on groups that have had no upstream failure for some time."""
        expired = [
            group
            for group, item in self._evidence.items()
            if now >= item.isolated_until
            and all(now - at >= _WINDOW_SECONDS for at in item.failed_upstreams.values())
        ]
        for group in expired:
            del self._evidence[group]

    def _isolated_until(self, group: Group) -> float:
        evidence = self._evidence.get(group)
        return evidence.isolated_until if evidence is not None else float("-inf")

    def _evidence_of(self, group: Group, now: float) -> _Evidence:
        evidence = self._evidence.get(group)
        if evidence is None:
            if len(self._evidence) >= _MAX_GROUPS:
                self._evict_one(now)
            evidence = self._evidence[group] = _Evidence()
        self._evidence.move_to_end(group)
        return evidence

    def _evict_one(self, now: float) -> None:
        """Evict the least recently updated group; isolated ones only if there are no others."""
        evictable = (group for group, item in self._evidence.items() if now >= item.isolated_until)
        del self._evidence[next(evictable, next(iter(self._evidence)))]
