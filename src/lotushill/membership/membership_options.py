"""The timing of membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Timing, in seconds."""

    ping_interval: float = 0.2
    """Between two pings of one member."""
    probe_timeout: float = 0.1
    """Without an answer for so long, others are asked to probe."""
    suspect_timeout: float = 0.25
    """Without any answer for so long, a member is suspected."""
    lost_timeout: float = 0.5
    """A member suspected for so long is taken for lost."""
    leaving_timeout: float = 30.0
    """A member that said it leaves is taken for lost after so long: its grace time is over."""
    lost_retention: float = 600.0
    """A lost member is probed now and then for so long, so that a healed cut is noticed."""
    probe_helpers: int = 2
    """Members asked to probe on one's behalf."""
    seeds_per_ping_round: int = 3
    """Members that one which knows nobody pings at a time: each answers with many states, so that
    all of a large fleet would be a flood where many come at once."""
    initial_pull_interval: float = 0.2
    """Between two pulls of a roster by one that knows less than half of what others know."""
    pull_interval: float = 1.0
    """Between two pulls by others, and how long gossip has to settle a difference without one."""
    max_difference_age: float = 1.5
    """A difference this old is pulled for also while members still come and go."""
    max_rosters_per_second: float = 8.0
    """Served at most by one member, so that what many newcomers ask costs it a bounded time."""
    leave_notifications: int = 8
    """Members of other halls that one which leaves tells itself."""
    rechecks_per_tick: int = 1
    """Members held for lost here, and alive by another, that are pinged in one tick."""
