"""Decides whether a silent upstream may be replaced while its answer is still awaited.

An upstream that pauses may still answer, so a gateway gives it up only once another upstream has
the request. These conditions are checked before an upstream with room is looked for.
"""

from __future__ import annotations

from dataclasses import dataclass

_MAX_REFUSALS = 3
"""Number of replacements that did not accept a request at which no further one is tried."""


@dataclass(frozen=True)
class ReplacementConditions:
    """State of a request whose upstream is silent."""

    repeatable: bool
    """Whether the request may run more than once."""
    has_memory_elsewhere: bool
    """Whether another upstream may hold the run's memory, from which the same run continues."""
    can_continue: bool
    """Whether no part of the answer was relayed, or the answer states where it can be continued."""
    runs: int
    """Number of attempts that may have run the request."""
    max_attempts: int
    fails_upstreams: bool
    """Whether the request makes upstreams fail, so that it must not be sent to another one."""
    refusals: int
    """Number of replacements that did not accept the request."""


def replacement_obstacle(conditions: ReplacementConditions) -> str:
    """Return why the upstream must not be replaced now, empty if it may be."""
    if not conditions.repeatable and not conditions.has_memory_elsewhere:
        return "must not run again"
    if not conditions.can_continue:
        return "answer cannot be continued"
    if conditions.repeatable and conditions.runs >= conditions.max_attempts:
        return "no attempt left"
    if conditions.fails_upstreams:
        return "upstreams fail under the request"
    return "not accepted elsewhere" if conditions.refusals >= _MAX_REFUSALS else ""
