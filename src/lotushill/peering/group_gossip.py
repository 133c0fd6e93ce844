"""Detects which groups of requests are to be isolated, and notifies the other gateways."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lotushill.availability.trickle import TrickleTimer
from lotushill.links.quarantine_messages import GroupEnd
from lotushill.links.quarantine_messages import GroupNews
from lotushill.links.quarantine_messages import IsolatedGroup
from lotushill.quarantine.group import Group
from lotushill.quarantine.repeat_schedule import RepeatSchedule
from lotushill.quarantine.update_schedule import KNOWN_GOOD_JITTER_SECONDS

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Iterable

    from lotushill.event_log import EventLog
    from lotushill.quarantine.isolation import Isolation

_MAX_GROUPS_PER_DATAGRAM = 8


class GroupGossip:
    """Connects the request path and the other gateways to the isolation of groups."""

    def __init__(
        self,
        name: str,
        isolation: Isolation,
        broadcast: Callable[[GroupNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Send as the gateway `name`; `broadcast` sends to all other gateways."""
        self._name = name
        self._isolation = isolation
        self._broadcast = broadcast
        self._log = log
        self._rng = rng
        self._clock = clock
        self._due_failures: RepeatSchedule[GroupEnd] = RepeatSchedule()
        self._due_completions: RepeatSchedule[Group] = RepeatSchedule()
        self._isolated_timer = TrickleTimer(rng)
        """Timer that repeats the isolated groups: a restarted gateway has seen no failures."""

    def is_isolated(self, groups: Iterable[Group]) -> bool:
        """Return whether a request of these groups is isolated."""
        return not self._isolation.is_empty and self._isolation.is_isolated(groups, self._clock())

    def record_completion(self, groups: Iterable[Group]) -> None:
        """Record a completed request of these groups."""
        self._isolation.record_completion(groups, self._clock())

    def record_upstream_failure(self, groups: Iterable[Group], upstream: str) -> None:
        """Record that an upstream failed before a request of these groups had its first event."""
        now = self._clock()
        for group in groups:
            completions = self._isolation.completion_count(group, now)
            failure = GroupEnd(group.service, group.label, upstream, completions)
            self._due_failures.schedule_repeats(failure, now)
            self._record_failure(failure, self._name)

    def expire(self) -> None:
        """Discard groups during which no upstream has failed for a while."""
        self._isolation.expire(self._clock())

    def receive(self, update: GroupNews) -> None:
        """Merge an update from another gateway."""
        for failure in update.ends:
            self._merge_failure(failure, update.sender)
        if update.isolated:
            self._merge_isolated(update.isolated)

    def _merge_failure(self, failure: GroupEnd, reporter: str) -> None:
        """Merge an upstream failure or completions; schedule a report of any local completions."""
        now = self._clock()
        group = Group(failure.service, failure.label)
        if not failure.upstream:
            self._isolation.record_peer_completions(group, reporter, failure.whole, now)
            return
        self._record_failure(failure, reporter)
        if self._isolation.completion_count(group, now) and group not in self._due_completions:
            self._due_completions.schedule_once(
                group, now + self._rng.uniform(0.0, KNOWN_GOOD_JITTER_SECONDS)
            )

    def _record_failure(self, failure: GroupEnd, reporter: str) -> None:
        group = Group(failure.service, failure.label)
        if self._isolation.record_upstream_failure(
            group, failure.upstream, reporter, failure.whole, self._clock()
        ):
            self._log_isolated(group, failure.upstream)

    def _merge_isolated(self, received: tuple[IsolatedGroup, ...]) -> None:
        now = self._clock()
        for item in received:
            group = Group(item.service, item.label)
            if self._isolation.adopt(group, item.left, item.pause, now):
                self._log_isolated(group, "")
        if {Group(item.service, item.label) for item in received} >= set(
            self._isolation.isolated_groups(now)
        ):
            self._isolated_timer.note_consistent()

    def _log_isolated(self, group: Group, upstream: str) -> None:
        self._log.note(
            "quarantine.isolated", service=group.service, group=group.label, upstream=upstream
        )
        self._isolated_timer.reset(self._clock())

    def next_due(self) -> float:
        """Return when the next update is due, infinity if none is."""
        if self._isolation.is_empty:
            return math.inf
        return min(
            self._due_failures.next_due(),
            self._due_completions.next_due(),
            self._isolated_timer.next_due,
        )

    def send_due(self) -> None:
        """Send the updates that are due."""
        reports = [*self._due_failures.pop_due(self._clock()), *self._pop_completions()]
        for start in range(0, len(reports), _MAX_GROUPS_PER_DATAGRAM):
            self._broadcast(
                GroupNews(self._name, tuple(reports[start : start + _MAX_GROUPS_PER_DATAGRAM]))
            )
        self._send_isolated()

    def _pop_completions(self) -> list[GroupEnd]:
        """Return the reports of completions that are due; none once enough are known."""
        now = self._clock()
        completion_reports = []
        for group in self._due_completions.pop_due(now):
            if not self._isolation.needs_completion_reports(group, now):
                continue
            completions = self._isolation.completion_count(group, now)
            self._isolation.record_peer_completions(group, self._name, completions, now)
            completion_reports.append(GroupEnd(group.service, group.label, "", completions))
        return completion_reports

    def _send_isolated(self) -> None:
        now = self._clock()
        terms = self._isolation.isolation_terms(now)
        if not terms:
            self._isolated_timer.stop()
        elif self._isolated_timer.is_due(now):
            groups_to_send = [
                IsolatedGroup(
                    group.service, group.label, term.remaining_seconds, term.pause_seconds
                )
                for group, term in terms.items()
            ]
            self._broadcast(
                GroupNews(self._name, isolated=tuple(groups_to_send[:_MAX_GROUPS_PER_DATAGRAM]))
            )
