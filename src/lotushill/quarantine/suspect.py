"""One request during which upstreams failed, with the evidence for and against it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

FAILURES_TO_HOLD = 3
"""Number of upstreams that fail during a request, without a completion in between, to hold it.

At one, every request that ran beside the cause would be held; at two, every such request that was
then forwarded to the same upstream as the cause.
"""
_ROUND_SECONDS = 1.0
"""Interval in seconds within which failures during a known good request count as one round.

When a hall loses power, a common request runs at all upstreams of the hall.
"""
_FIRST_TERM_SECONDS = 15.0
_MAX_TERM_SECONDS = 600.0
_KEEP_CLEARED_SECONDS = 30.0
"""Seconds for which a cleared suspect is kept: longer than the two in which a failure is sent."""
_MAX_FAILURES = 16
_MAX_CLEARED = 64


@dataclass
class Suspect:
    """The evidence on one request; times are those of a monotonic clock.

    A request that never completed is held indefinitely after `FAILURES_TO_HOLD` upstreams failed. A
    request that did may run at upstreams that fail for other reasons: it is held for a limited
    term after as many rounds of failures without a completion between them. After the term, one
    more failure holds it for twice as long.
    """

    team: str
    path: str
    failed_upstreams: dict[str, float] = field(default_factory=dict)
    """Upstreams that failed since the request was last cleared, with the time of the report."""
    cleared_upstreams: dict[str, None] = field(default_factory=dict)
    """Upstreams that no longer count, though late updates may name them again; the newest last."""
    known_good: bool = False
    """Whether the request completed before its first failure."""
    term_count: int = 0
    held_until: float = float("-inf")
    """End of the current term of a known good request."""
    last_evidence_at: float = float("-inf")
    """Time of the last new evidence against the request."""
    observed_locally: bool = False
    """Whether this gateway observed an upstream failure itself, not only through peers."""

    def add_failure(self, upstream: str, now: float) -> bool:
        """Record that an upstream failed during the request; return whether that is new."""
        if (
            upstream in self.failed_upstreams
            or upstream in self.cleared_upstreams
            or len(self.failed_upstreams) >= _MAX_FAILURES
        ):
            return False
        self.last_evidence_at = now
        self.failed_upstreams[upstream] = now
        self._hold_known_good(now)
        return True

    def mark_known_good(self, now: float) -> None:
        """Record that the request completed before its failures."""
        if not self.known_good:
            self.known_good = True
            self._hold_known_good(now)

    def clear(self) -> None:
        """Record that the request completed after its failures."""
        self._clear_failures()
        self.known_good = True
        self.term_count = 0
        self.held_until = float("-inf")

    def release(self) -> None:
        """Release the request; it is held again after as many new failures as the first time."""
        self.clear()
        self.known_good = False

    def is_held(self, now: float) -> bool:
        """Return whether the request must not reach any upstream."""
        if self.known_good:
            return now < self.held_until
        return len(self.failed_upstreams) >= FAILURES_TO_HOLD

    def is_clear(self, now: float) -> bool:
        """Return whether there is no evidence against the request, now and in recent time."""
        is_quiet = now - max(self.last_evidence_at, self.held_until) > _KEEP_CLEARED_SECONDS
        return not self.failed_upstreams and not self.term_count and is_quiet

    @property
    def is_held_indefinitely(self) -> bool:
        """Return whether the request is held until it is released."""
        return not self.known_good and len(self.failed_upstreams) >= FAILURES_TO_HOLD

    def _hold_known_good(self, now: float) -> None:
        required_rounds = 1 if self.term_count else FAILURES_TO_HOLD
        if not self.known_good or self._rounds() < required_rounds or now < self.held_until:
            return
        term = min(_MAX_TERM_SECONDS, _FIRST_TERM_SECONDS * 2.0**self.term_count)
        self.term_count += 1
        self.held_until = now + term
        self._clear_failures()

    def _clear_failures(self) -> None:
        self.cleared_upstreams.update(dict.fromkeys(self.failed_upstreams))
        self.failed_upstreams.clear()
        while len(self.cleared_upstreams) > _MAX_CLEARED:
            del self.cleared_upstreams[next(iter(self.cleared_upstreams))]

    def _rounds(self) -> int:
        rounds, last = 0, float("-inf")
        for at in sorted(self.failed_upstreams.values()):
            if at - last >= _ROUND_SECONDS:
                rounds, last = rounds + 1, at
        return rounds
