"""Learns which groups of requests are to be kept apart, and tells the other gateways."""

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

_MOST_IN_DATAGRAM = 8


class GroupGossip:
    """Stands between the request path, the peers and the groups that are kept apart."""

    def __init__(
        self,
        name: str,
        isolation: Isolation,
        broadcast: Callable[[GroupNews], None],
        log: EventLog,
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        """Tell as the gateway `name`; `tell` sends to all other gateways."""
        self._name = name
        self._isolation = isolation
        self._tell = broadcast
        self._log = log
        self._rng = rng
        self._clock = clock
        self._ends: RepeatSchedule[GroupEnd] = RepeatSchedule()
        self._proofs: RepeatSchedule[Group] = RepeatSchedule()
        self._timer = TrickleTimer(rng)
        """For what is kept apart: a gateway that starts anew has seen none of the ends."""

    # The request path

    def is_isolated(self, groups: Iterable[Group]) -> bool:
        """Return whether a request of these groups is kept apart."""
        return not self._isolation.is_empty and self._isolation.is_isolated(groups, self._clock())

    def record_completion(self, groups: Iterable[Group]) -> None:
        """Note a whole answer."""
        self._isolation.record_completion(groups, self._clock())

    def record_upstream_failure(self, groups: Iterable[Group], upstream: str) -> None:
        """Note that an upstream ended before a request of these groups had its first event."""
        now = self._clock()
        for group in groups:
            whole = self._isolation.completion_count(group, now)
            end = GroupEnd(group.service, group.label, upstream, whole)
            self._ends.schedule_repeats(end, now)
            self._take_end(end, self._name)

    def expire(self) -> None:
        """Forget groups under which no upstream has ended for a while."""
        self._isolation.expire(self._clock())

    # Peers

    def receive(self, news: GroupNews) -> None:
        """Take what another gateway knows."""
        for end in news.ends:
            self._hear_end(end, news.sender)
        if news.isolated:
            self._hear_isolated(news.isolated)

    def _hear_end(self, end: GroupEnd, teller: str) -> None:
        """Take an end, or whole answers alone; tell of own whole answers that speak for it."""
        now = self._clock()
        group = Group(end.service, end.label)
        if not end.upstream:
            self._isolation.record_peer_completions(group, teller, end.whole, now)
            return
        self._take_end(end, teller)
        if self._isolation.completion_count(group, now) and group not in self._proofs:
            self._proofs.schedule_once(
                group, now + self._rng.uniform(0.0, KNOWN_GOOD_JITTER_SECONDS)
            )

    def _take_end(self, end: GroupEnd, teller: str) -> None:
        group = Group(end.service, end.label)
        if self._isolation.record_upstream_failure(
            group, end.upstream, teller, end.whole, self._clock()
        ):
            self._note_isolated(group, end.upstream)

    def _hear_isolated(self, told: tuple[IsolatedGroup, ...]) -> None:
        now = self._clock()
        for item in told:
            group = Group(item.service, item.label)
            if self._isolation.adopt(group, item.left, item.pause, now):
                self._note_isolated(group, "")
        if {Group(item.service, item.label) for item in told} >= set(
            self._isolation.isolated_groups(now)
        ):
            self._timer.note_consistent()

    def _note_isolated(self, group: Group, upstream: str) -> None:
        self._log.note(
            "quarantine.isolated", service=group.service, group=group.label, upstream=upstream
        )
        self._timer.reset(self._clock())

    # What is due

    def next_due(self) -> float:
        """Return when something is to be told, infinity for never."""
        if self._isolation.is_empty:
            return math.inf
        return min(self._ends.next_due(), self._proofs.next_due(), self._timer.next_due)

    def send_due(self) -> None:
        """Send what is due."""
        ends = [*self._ends.pop_due(self._clock()), *self._due_proofs()]
        for start in range(0, len(ends), _MOST_IN_DATAGRAM):
            self._tell(GroupNews(self._name, tuple(ends[start : start + _MOST_IN_DATAGRAM])))
        self._tell_isolated()

    def _due_proofs(self) -> list[GroupEnd]:
        """Return whole answers that are due to be told: once enough are known, no more are."""
        now = self._clock()
        found = []
        for group in self._proofs.pop_due(now):
            if not self._isolation.needs_completion_reports(group, now):
                continue
            whole = self._isolation.completion_count(group, now)
            self._isolation.record_peer_completions(group, self._name, whole, now)
            found.append(GroupEnd(group.service, group.label, "", whole))
        return found

    def _tell_isolated(self) -> None:
        now = self._clock()
        terms = self._isolation.isolation_terms(now)
        if not terms:
            self._timer.stop()
        elif self._timer.is_due(now):
            told = [
                IsolatedGroup(group.service, group.label, term.left, term.pause)
                for group, term in terms.items()
            ]
            self._tell(GroupNews(self._name, isolated=tuple(told[:_MOST_IN_DATAGRAM])))
