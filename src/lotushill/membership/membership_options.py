"""Timing and rates of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Timing in seconds, counts and rates of the membership protocol."""

    period: float = 0.2
    """Interval between two pings that a member sends."""
    probe_timeout: float = 0.1
    """Time without an answer after which others are asked to probe the member."""
    suspect_after: float = 0.25
    """Time without any answer, direct or indirect, after which a member is suspected."""
    lost_after: float = 0.5
    """Time after which a suspected member is declared lost."""
    left_after: float = 30.0
    """Time after which a leaving member is declared lost, since its grace time is over."""
    forget_after: float = 600.0
    """Time for which a lost member is still probed occasionally, to detect a healed partition."""
    helpers: int = 2
    """Number of members that are asked to probe on behalf of another."""
    first_seeds: int = 3
    """Seeds that a member without known members pings at a time. Each answers with many states, so
    pings to all seeds of a large fleet would flood it when many members join at once."""
    pull_first: float = 0.2
    """Interval between roster pulls of a member that knows at most half of the live members."""
    pull_again: float = 1.0
    """Interval between other roster pulls, and time for gossip to resolve a difference first."""
    pull_latest: float = 1.5
    """Age of a difference at which a roster is pulled even while members still join and leave."""
    rosters_a_second: float = 8.0
    """Rosters that one member serves per second, so that many joins cost it a bounded time."""
    leave_tells: int = 8
    """Number of members of other halls that a leaving member notifies itself."""
    rechecks_a_tick: int = 1
    """Members lost here and alive according to another member that are pinged in one tick."""
