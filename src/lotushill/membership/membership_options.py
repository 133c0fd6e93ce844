"""Timing and rates of the membership protocol."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Timing in seconds, counts and rates of the membership protocol."""

    ping_interval: float = 0.2
    """Interval between two pings that a member sends."""
    probe_timeout: float = 0.1
    """Time without an answer after which others are asked to probe the member."""
    suspect_timeout: float = 0.25
    """Time without any answer, direct or indirect, after which a member is suspected."""
    lost_timeout: float = 0.5
    """Time after which a suspected member is declared lost."""
    leaving_timeout: float = 30.0
    """Time after which a leaving member is declared lost, since its grace time is over."""
    lost_retention: float = 600.0
    """Time for which a lost member is still probed occasionally, to detect a healed partition."""
    probe_helpers: int = 2
    """Number of members that are asked to probe on behalf of another."""
    seeds_per_ping_round: int = 3
    """Seeds that a member without known members pings at a time. Each answers with many states, so
    pings to all seeds of a large fleet would flood it when many members join at once."""
    initial_pull_interval: float = 0.2
    """Interval between roster pulls of a member that knows at most half of the live members."""
    pull_interval: float = 1.0
    """Interval between other roster pulls, and time for gossip to resolve a difference first."""
    max_difference_age: float = 1.5
    """Age of a difference at which a roster is pulled even while members still join and leave."""
    max_rosters_per_second: float = 8.0
    """Rosters that one member serves per second, so that many joins cost it a bounded time."""
    leave_notifications: int = 8
    """Number of members of other halls that a leaving member notifies itself."""
    rechecks_per_tick: int = 1
    """Members lost here and alive according to another member that are pinged in one tick."""
