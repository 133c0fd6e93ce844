"""Limits of a class, counted where grants are made, so that they hold over all entries."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.dispatch.messages import Ask
    from lotushill.dispatch.waiting_room import ClassKey

BURST_SECONDS = 1.0
"""A bucket holds this many seconds of its rate."""


@dataclass
class TokenBucket:
    """A bucket that fills at `rate` a second up to `size`; a debt is paid back by waiting."""

    rate: float
    size: float
    level: float
    at: float

    def refill(self, now: float) -> None:
        """Let the bucket fill up to `now`."""
        self.level = min(self.size, self.level + (now - self.at) * self.rate)
        self.at = max(self.at, now)

    def ready_at(self, needed: float) -> float:
        """Return when the bucket will hold `needed`, by the last refill."""
        return self.at + max(0.0, needed - self.level) / self.rate


@dataclass
class _Use:
    running: int = 0
    starts: TokenBucket | None = None
    tokens: TokenBucket | None = None


class Limits:
    """Rate, concurrency and tokens a second of every class of one cell."""

    def __init__(self) -> None:
        self._uses: dict[ClassKey, _Use] = {}

    def ready_at(self, key: ClassKey, ask: Ask, now: float) -> float:
        """Return when the class may start one more: `now`, later, or infinity for unknown."""
        use = self._use(key, ask, now)
        if ask.concurrency and use.running >= ask.concurrency:
            return float("inf")
        ready = now
        if use.starts is not None:
            ready = max(ready, use.starts.ready_at(1.0))
        if use.tokens is not None:
            ready = max(ready, use.tokens.ready_at(1.0))
        return ready

    def start(self, key: ClassKey, ask: Ask, tokens: float, now: float) -> None:
        """Count one start with its expected tokens."""
        use = self._use(key, ask, now)
        use.running += 1
        if use.starts is not None:
            use.starts.level -= 1.0
        if use.tokens is not None:
            use.tokens.level -= tokens

    def end(self, key: ClassKey, token_correction: float) -> None:
        """Count one end; the correction is real tokens less expected ones."""
        use = self._uses.get(key)
        if use is None:
            return
        use.running -= 1
        if use.tokens is not None:
            use.tokens.level -= token_correction

    def _use(self, key: ClassKey, ask: Ask, now: float) -> _Use:
        use = self._uses.setdefault(key, _Use())
        use.starts = _follow(use.starts, ask.rate, 1.0, now)
        use.tokens = _follow(use.tokens, ask.tokens, 1.0, now)
        return use


def _follow(
    bucket: TokenBucket | None, rate: float, smallest: float, now: float
) -> TokenBucket | None:
    """Bring a bucket up to the limit now in force, and to `now`."""
    if not rate:
        return None
    size = max(smallest, rate * BURST_SECONDS)
    if bucket is None:
        return TokenBucket(rate, size, size, now)
    if bucket.rate != rate:
        bucket.rate = rate
        bucket.size = size
    bucket.refill(now)
    return bucket
