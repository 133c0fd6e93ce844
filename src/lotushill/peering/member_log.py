"""Log lines on member changes: one for each while they are few, then one summary for the rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.event_log import EventLog
    from lotushill.membership.roster import MemberChange

_MAX_SINGLE_LINES = 4
"""Maximum number of changes per interval with a line of their own. Without this limit,
in a rolling restart of hundreds of gateways, each would write a line for each stop and start of
all others."""
_INTERVAL_SECONDS = 1.0
_MAX_NAMES = 8
"""Maximum number of members that a summary line names; the others are only counted."""


class MemberLog:
    """Writes a bounded number of log lines; pure except for the log, with the time passed in."""

    def __init__(self, log: EventLog) -> None:
        self._log = log
        self._interval_ends = float("-inf")
        self._lines = 0
        self._pending: list[MemberChange] = []

    def note(self, change: MemberChange, now: float) -> None:
        """Write a line on a change, or keep the change for the next summary line."""
        self.flush(now)
        if self._lines >= _MAX_SINGLE_LINES:
            self._pending.append(change)
            return
        if not self._lines:
            self._interval_ends = now + _INTERVAL_SECONDS
        self._lines += 1
        member = change.member
        self._log.note(
            "member.changed",
            member=member.name,
            hall=member.hall,
            phase=member.phase.value,
            incarnation=member.incarnation,
        )

    def flush(self, now: float) -> None:
        """Write the summary line if the interval has ended."""
        if now < self._interval_ends:
            return
        self._lines = 0
        if not self._pending:
            return
        changes, self._pending = self._pending, []
        counts: dict[str, int] = {}
        for change in changes:
            phase = change.member.phase.value
            counts[phase] = counts.get(phase, 0) + 1
        names = [f"{change.member.name}:{change.member.phase.value}" for change in changes]
        self._log.note("members.changed", count=len(changes), **counts, latest=names[-_MAX_NAMES:])
