"""Decides when differing rosters are exchanged: rarely, with few members, at a bounded rate.

Pure, with the time passed in.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.membership_options import MembershipOptions
    from lotushill.membership.roster import Roster


class RosterSync:
    """Decides which members to pull a roster from, and whether to answer a pull.

    Gossip spreads joins and leaves. Changes that it missed are detected by the digests that every
    packet carries: a member whose digest differs pulls the groups of members in which the two
    differ.
    """

    def __init__(self, roster: Roster, options: MembershipOptions) -> None:
        self._roster = roster
        self._options = options
        self._pulled_at = float("-inf")
        self._differs_since: float | None = None
        self._tokens = options.max_rosters_per_second
        self._tokens_at = 0.0

    def should_pull(self, digest: int, known: int, now: float) -> bool:
        """Return whether to pull from a member that has `known` live members with this digest."""
        if digest == self._roster.digest():
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if not self._is_due(known, now):
            return False
        self._pulled_at = now
        return True

    def admit_pull(self, now: float) -> bool:
        """Return whether to answer a pull now; a member without an answer asks another one."""
        rate = self._options.max_rosters_per_second
        self._tokens = min(rate, self._tokens + rate * max(0.0, now - self._tokens_at))
        self._tokens_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _is_due(self, known: int, now: float) -> bool:
        options = self._options
        since_pull = now - self._pulled_at
        if 2 * len(self._roster.live()) <= known:
            return since_pull >= options.initial_pull_interval
        assert self._differs_since is not None
        settled = now - self._roster.changed_at >= options.pull_interval
        settled = settled and now - self._differs_since >= options.pull_interval
        overdue = now - self._differs_since >= options.max_difference_age
        return (settled or overdue) and since_pull >= options.pull_interval
