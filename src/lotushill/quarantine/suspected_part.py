"""One part of prompts beside which upstreams failed, with the evidence for and against it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

FAILURES_TO_CONVICT = 4
ROUNDS_TO_CONVICT = 3
ROUND_SECONDS = 0.25
"""Interval in seconds within which failures count as one round.

When a hall loses power, a popular part is at many failures at once; within this time a request with
it has its first event at another upstream.
"""
_MAX_FAILURES = 64
_KNOWN_GOOD_WEIGHT = 0.5
"""Weight of a failure beside a part of which an event was seen before, relative to one beside a
part that no request was ever answered with."""


@dataclass
class SuspectedPart:
    """The evidence on one part; times are those of a monotonic clock.

    A part at fault makes each upstream fail that begins an answer on it. One first event of any
    request with the part is thus proof that it caused none of the failures before that event.
    """

    path: str
    """Name of the part for operators, in the place of the path of a request."""
    team: str = ""
    """Always empty, as requests of any team may hold the part."""
    failed_upstreams: dict[str, float] = field(default_factory=dict)
    """Upstreams that failed before a request with the part had an event, with the times at which
    the requests were interrupted."""
    begun_at: float = float("-inf")
    """Time of the latest first event that is known of a request with the part."""
    told_begun_at: float = float("-inf")
    """The latest of these times that gateways have told each other."""
    last_failure_at: float = float("-inf")
    """Time of the latest failure, including those that were cleared."""
    released_at: float = float("-inf")
    """Time up to which failures do not count, since the part was released in the store."""
    convicted: bool = False
    """Whether no request with the part may reach an upstream."""
    acquitted: bool = False
    """Whether an event disproved a verdict, which may still be in the store."""
    observed_locally: bool = False
    """Whether this gateway observed a failure itself, not only through peers."""

    def add_failure(self, upstream: str, at: float) -> bool:
        """Record that an upstream failed beside the part; return whether that is new evidence."""
        self.last_failure_at = max(self.last_failure_at, at)
        if at <= max(self.begun_at, self.released_at) or upstream in self.failed_upstreams:
            return False
        if len(self.failed_upstreams) >= _MAX_FAILURES:
            return False
        self.failed_upstreams[upstream] = at
        return True

    def record_begun(self, at: float) -> None:
        """Record a first event of a request with the part, which clears the failures before it."""
        if at <= self.begun_at:
            return
        self.begun_at = at
        remaining = {name: time for name, time in self.failed_upstreams.items() if time > at}
        if len(remaining) == len(self.failed_upstreams):
            return
        self.failed_upstreams = remaining
        if self.convicted and len(remaining) < FAILURES_TO_CONVICT:
            self.acquit()

    def convict(self) -> None:
        """Hold the part until an event disproves the verdict or an operator releases it."""
        self.convicted = True
        self.acquitted = False

    def acquit(self) -> None:
        """Withdraw the verdict, which an event has disproved."""
        self.convicted = False
        self.acquitted = True

    def release(self) -> None:
        """Release the part; it is held again after as many new failures as the first time."""
        self.released_at = self.last_failure_at
        self.failed_upstreams.clear()
        self.convicted = False

    @property
    def known_good(self) -> bool:
        """Return whether a request with the part has ever had an event."""
        return self.begun_at > float("-inf")

    def weight(self, further_failures: int = 0) -> float:
        """Return how strongly the part is suspected, to be compared with other parts.

        `further_failures` are counted as well, beyond those that are known.
        """
        failures = len(self.failed_upstreams) + further_failures
        return failures * (_KNOWN_GOOD_WEIGHT if self.known_good else 1.0)

    @property
    def has_enough_evidence(self) -> bool:
        """Return whether the failures suffice, unless another suspect explains them."""
        return len(self.failed_upstreams) >= FAILURES_TO_CONVICT and (
            self._rounds() >= ROUNDS_TO_CONVICT
        )

    @property
    def has_untold_event(self) -> bool:
        """Return whether the other gateways lack an event that could clear a failure."""
        return self.begun_at > self.told_begun_at and self.last_failure_at > self.told_begun_at

    def _rounds(self) -> int:
        rounds, last = 0, float("-inf")
        for at in sorted(self.failed_upstreams.values()):
            if at - last >= ROUND_SECONDS:
                rounds, last = rounds + 1, at
        return rounds
