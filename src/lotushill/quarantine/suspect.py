"""One request under which upstreams ended, and what speaks against it and for it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

ENDS_TO_HOLD = 3
"""Upstreams that end under a request, without a whole answer since, before it is held.

With one, each of those that ran beside the cause would be held; with two, those of them that were
sent on to the same upstream as the cause.
"""
_ROUND_SECONDS = 1.0
"""Ends so close together say no more of a request that was answered whole than one does: when a
hall loses power, a common request runs at all of its upstreams."""
_FIRST_TERM_SECONDS = 15.0
_LONGEST_TERM_SECONDS = 600.0
_CLEAR_SECONDS = 30.0
"""News of an end are told for two seconds; one that was cleared is remembered for longer."""
_MOST_ENDS = 16
_MOST_CLEARED = 64


@dataclass
class Suspect:
    """What is held of one request; times are on a steady clock.

    One that was never answered whole is held for good after `ENDS_TO_HOLD` upstreams. One that was
    may meet upstreams that end for other reasons: it is held after as many rounds of ends without
    a whole answer between them, for a term. After it one more end holds it for twice as long.
    """

    team: str
    path: str
    failed_upstreams: dict[str, float] = field(default_factory=dict)
    """The upstreams that ended under it since it was last cleared, by when that was heard."""
    cleared: dict[str, None] = field(default_factory=dict)
    """Upstreams that no longer count, though late news may name them again; the latest last."""
    proven: bool = False
    """Whether it was answered whole before its first end."""
    terms: int = 0
    held_until: float = float("-inf")
    """For a proven one."""
    heard_at: float = float("-inf")
    """When anything was last heard against it."""
    seen_here: bool = False
    """Whether this gateway saw an upstream end under it, and did not only hear of it."""

    def add(self, upstream: str, now: float) -> bool:
        """Note that an upstream ended under the request; return whether that is news."""
        if (
            upstream in self.failed_upstreams
            or upstream in self.cleared
            or len(self.failed_upstreams) >= _MOST_ENDS
        ):
            return False
        self.heard_at = now
        self.failed_upstreams[upstream] = now
        self._hold_proven(now)
        return True

    def prove(self, now: float) -> None:
        """Note that it was answered whole before its ends."""
        if not self.proven:
            self.proven = True
            self._hold_proven(now)

    def clear(self) -> None:
        """Note that it was answered whole since its ends."""
        self._forget_ends()
        self.proven = True
        self.terms = 0
        self.held_until = float("-inf")

    def release(self) -> None:
        """Let it go; it is held again after as many further ends as at first."""
        self.clear()
        self.proven = False

    def held(self, now: float) -> bool:
        """Return whether the request is to reach no upstream."""
        if self.proven:
            return now < self.held_until
        return len(self.failed_upstreams) >= ENDS_TO_HOLD

    def is_clear(self, now: float) -> bool:
        """Return whether nothing stands against it, nor has lately."""
        quiet = now - max(self.heard_at, self.held_until) > _CLEAR_SECONDS
        return not self.failed_upstreams and not self.terms and quiet

    @property
    def held_for_good(self) -> bool:
        """Return whether it is held until it is released."""
        return not self.proven and len(self.failed_upstreams) >= ENDS_TO_HOLD

    def _hold_proven(self, now: float) -> None:
        needed = 1 if self.terms else ENDS_TO_HOLD
        if not self.proven or self._rounds() < needed or now < self.held_until:
            return
        term = min(_LONGEST_TERM_SECONDS, _FIRST_TERM_SECONDS * 2.0**self.terms)
        self.terms += 1
        self.held_until = now + term
        self._forget_ends()

    def _forget_ends(self) -> None:
        self.cleared.update(dict.fromkeys(self.failed_upstreams))
        self.failed_upstreams.clear()
        while len(self.cleared) > _MOST_CLEARED:
            del self.cleared[next(iter(self.cleared))]

    def _rounds(self) -> int:
        rounds, last = 0, float("-inf")
        for at in sorted(self.failed_upstreams.values()):
            if at - last >= _ROUND_SECONDS:
                rounds, last = rounds + 1, at
        return rounds
