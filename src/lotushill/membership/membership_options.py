"""The timing of membership."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MembershipOptions:
    """Timing, in seconds."""

    period: float = 0.2
    """Between two pings of one member."""
    probe_timeout: float = 0.1
    """Without an answer for so long, others are asked to probe."""
    suspect_after: float = 0.25
    """Without any answer for so long, a member is suspected."""
    lost_after: float = 0.5
    """A member suspected for so long is taken for lost."""
    forget_after: float = 600.0
    """A lost member is probed now and then for so long, so that a healed cut is noticed."""
    helpers: int = 2
    """Members asked to probe on one's behalf."""
