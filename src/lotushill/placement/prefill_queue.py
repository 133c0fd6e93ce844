"""The prompts that one upstream has still to read.

An engine reads one prompt to its end and then takes up the most urgent that waits: a more urgent
prompt overtakes all that wait, but not the one in turn.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class _Prompt:
    tier: int
    tokens: int


class PrefillQueue:
    """Prompts by request, in the order they came."""

    def __init__(self) -> None:
        self._waiting: dict[int, _Prompt] = {}
        self._totals: Counter[int] = Counter()
        """Tokens by tier, since what is due is asked for with each event of a stream."""
        self._in_turn: int | None = None
        self._since = 0.0
        """When reading of the one in turn began."""
        self._idle_since = float("-inf")

    def add(self, request: int, tier: int, tokens: int, since: float) -> None:
        """Count a prompt in that has waited since some moment."""
        self._waiting[request] = _Prompt(tier, tokens)
        self._totals[tier] += tokens
        if self._in_turn is None:
            self._in_turn = request
            self._since = since

    def finish(self, request: int, now: float) -> None:
        """Count a prompt out that has been read, so that another one is in turn."""
        if self._remove(request):
            self._take_up_next(now)

    def cancel(self, request: int, now: float) -> None:
        """Count a prompt out, if it is still counted in, that is not to be read."""
        self._remove(request)
        if request == self._in_turn:
            self._take_up_next(now)

    def remaining_tokens(self, read_rate: float, now: float) -> float:
        """Return the tokens still to be read, less what the one in turn has had read."""
        return sum(self._totals.values()) - self._done(read_rate, now)

    def tokens_ahead(self, tier: int, read_rate: float, now: float) -> float:
        """Return the same of what is read before a new prompt of a tier."""
        total = sum(tokens for other, tokens in self._totals.items() if other <= tier)
        if self._in_turn is not None and self._waiting[self._in_turn].tier > tier:
            total += self._waiting[self._in_turn].tokens
        return total - self._done(read_rate, now)

    @property
    def is_busy(self) -> bool:
        """Return whether a prompt waits or is read."""
        return bool(self._waiting)

    def idle_seconds(self, now: float) -> float:
        """Return for how many seconds nothing has been read, 0 while something is."""
        return 0.0 if self._waiting else max(0.0, now - self._idle_since)

    def _remove(self, request: int) -> bool:
        found = self._waiting.pop(request, None)
        if found is None:
            return False
        self._totals[found.tier] -= found.tokens
        return True

    def _done(self, read_rate: float, now: float) -> float:
        if self._in_turn is None:
            return 0.0
        tokens = self._waiting[self._in_turn].tokens
        return min(float(tokens), max(0.0, now - self._since) * read_rate)

    def _take_up_next(self, now: float) -> None:
        """Take up the most urgent, and of these the oldest."""
        self._since = self._idle_since = now
        self._in_turn = min(
            self._waiting, key=lambda request: self._waiting[request].tier, default=None
        )
