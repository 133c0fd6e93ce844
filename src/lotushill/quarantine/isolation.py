"""Which groups of requests are kept apart, since upstreams end under them. Pure.

The load that it answers: one caller whose requests each end the upstream that begins them, and
whose bodies differ each time, so that no request comes again. A few a second leave hardly anybody
else served.

Upstreams end with all that runs there, so that busy groups are beside each end. Three things tell
the cause from them: an upstream ends when it begins the cause, which so never had an event; hardly
any request of the cause is answered whole; and of groups that hold each other the smallest that was
at the ends explains them.
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
"""Ends a second or more apart: a hall that loses power ends many upstreams at once."""
_ROUND_SECONDS = 1.0
_WINDOW_SECONDS = 10.0
"""Ends and whole answers of so long are held against each other."""
_WHOLE_PER_END = 2.0
"""With more whole answers for each end, the group is taken for one that was beside them: hardly any
request of a bystander is cut before its first event."""
_EXPLAINED_SHARE = 0.6
"""Of the ends of a group, those at which a smaller one within it was as well."""
_TERM_SECONDS = 20.0
"""A group is kept apart for so long after it may be tried: a request or more has run by then."""
_FIRST_PAUSE_SECONDS = 1.0
_LONGEST_PAUSE_SECONDS = 30.0
"""After each end of an upstream under a group that is kept apart nothing of it is tried for a pause
that doubles: what ran alone has been shown to be the cause."""
_LONGEST_TERM_SECONDS = _TERM_SECONDS + _LONGEST_PAUSE_SECONDS
_MOST_GROUPS = 512
_MOST_ENDS = 16
_WHOLE_TOLD = 3 * _MOST_ENDS
"""Whole answers that are told against ends: some more than would do, since when half of all
upstreams end at once their ends are heard before what speaks for the groups beside them."""


@dataclass(frozen=True)
class IsolationTerm:
    """How long a group is still kept apart, and the pause after its next end; seconds."""

    left: float
    pause: float


@dataclass(frozen=True)
class _Told:
    """How many whole answers a gateway told of, and when."""

    count: int
    at: float


@dataclass
class _Evidence:
    """What stands against one group; times are on a steady clock."""

    ends: dict[str, float] = field(default_factory=dict)
    """Upstreams that ended under it, by when that was heard."""
    whole: dict[str, _Told] = field(default_factory=dict)
    """Its whole answers of late, as gateways have told."""
    until: float = float("-inf")
    """When it is no longer kept apart."""
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
        """Without what was told long ago: a group that was sound may turn deadly."""
        return sum(told.count for told in self.whole.values() if now - told.at < _WINDOW_SECONDS)

    def is_mostly_whole(self, now: float) -> bool:
        return self.whole_of_late(now) > _WHOLE_PER_END * len(self.recent(now))

    @property
    def shown(self) -> bool:
        """Whether an upstream ended under it while it was kept apart."""
        return self.pause > _FIRST_PAUSE_SECONDS


class Isolation:
    """Evidence against groups, from own sight and from peers; the time is passed in."""

    def __init__(self) -> None:
        self._evidence: OrderedDict[Group, _Evidence] = OrderedDict()
        self._whole: RecentCounts[Group] = RecentCounts(_WINDOW_SECONDS, _MOST_GROUPS)

    @property
    def is_empty(self) -> bool:
        """Return whether nothing stands against any group."""
        return not self._evidence

    def record_completion(self, groups: Iterable[Group], now: float) -> None:
        """Note that a request was answered whole at this gateway."""
        for group in groups:
            self._whole.note(group, now)

    def completion_count(self, group: Group, now: float) -> int:
        """Return how many of a group were answered whole here of late."""
        return self._whole.count(group, now)

    def record_upstream_failure(
        self, group: Group, upstream: str, reporter: str, completions: int, now: float
    ) -> bool:
        """Note that an upstream ended before a request of a group had its first event.

        `teller` is the gateway that saw it, which had so many `whole` answers of the group of late.
        Return whether the group is kept apart from now on.
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
        """Take how many of a group a gateway had answered whole of late."""
        evidence = self._evidence.get(group)
        if evidence is None:
            return
        evidence.whole[reporter] = _Told(completions, now)
        if not evidence.shown and evidence.is_mostly_whole(now):
            evidence.until = float("-inf")

    def adopt(self, group: Group, seconds: float, pause: float, now: float) -> bool:
        """Keep a group apart for so long as a peer does; return whether that is news.

        Not where whole answers that are known here speak for it.
        """
        evidence = self._of(group, now)
        if evidence.is_mostly_whole(now):
            return False
        was_apart = now < evidence.until
        evidence.until = max(evidence.until, now + min(_LONGEST_TERM_SECONDS, seconds))
        evidence.pause = max(evidence.pause, min(_LONGEST_PAUSE_SECONDS, pause))
        return not was_apart

    def isolation_terms(self, now: float) -> dict[Group, IsolationTerm]:
        """Return all groups that are kept apart, with what is left of it."""
        return {
            group: IsolationTerm(item.until - now, item.pause)
            for group, item in self._evidence.items()
            if now < item.until
        }

    def needs_completion_reports(self, group: Group, now: float) -> bool:
        """Return whether whole answers of a group that were not told yet speak for it."""
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
        """Return whether a request of these groups is kept apart."""
        return any(now < self._until(group) for group in groups)

    def retry_delay(self, groups: Iterable[Group], now: float) -> float:
        """Return after how many seconds one of these groups may be tried again."""
        found = (self._evidence[group] for group in groups if group in self._evidence)
        return max([0.0, *(item.tried_after - now for item in found if now < item.until)])

    def isolated_services(self, now: float) -> frozenset[str]:
        """Return the services that have a group which is kept apart."""
        return frozenset(group.service for group in self.isolated_groups(now))

    def isolated_groups(self, now: float) -> list[Group]:
        """Return all groups that are kept apart."""
        return [group for group, item in self._evidence.items() if now < item.until]

    def expire(self, now: float) -> None:
        """Forget those under which no upstream has ended for a while."""
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
        """Forget who was heard of longest ago; one that is kept apart goes after all others."""
        loose = (group for group, item in self._evidence.items() if now >= item.until)
        del self._evidence[next(loose, next(iter(self._evidence)))]
