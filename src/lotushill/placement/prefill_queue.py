"""Queue of the prompts that one upstream has still to process.

An engine processes one prompt to its end and then takes the most urgent one in the queue: a more
urgent prompt overtakes all queued prompts, but not the one being processed.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass


@dataclass(frozen=True)
class _Prompt:
    tier: int
    tokens: int


class PrefillQueue:
    """Prompts by request, in order of arrival."""

    def __init__(self) -> None:
        self._prompts: dict[int, _Prompt] = {}
        self._totals: Counter[int] = Counter()
        """Queued tokens by tier, kept as totals since they are queried with each event of a stream.
        """
        self._current: int | None = None
        self._current_since = 0.0
        """Time when the current prompt's processing began."""
        self._idle_since = float("-inf")

    def add(self, request: int, tier: int, tokens: int, since: float) -> None:
        """Add a prompt that has been queued since `since`."""
        self._prompts[request] = _Prompt(tier, tokens)
        self._totals[tier] += tokens
        if self._current is None:
            self._current = request
            self._current_since = since

    def finish(self, request: int, now: float) -> None:
        """Remove a prompt that has been processed, and start the next one."""
        if self._remove(request):
            self._start_next(now)

    def cancel(self, request: int, now: float) -> None:
        """Remove a prompt, if it is still queued, that is not to be processed."""
        self._remove(request)
        if request == self._current:
            self._start_next(now)

    def remaining_tokens(self, prefill_rate: float, now: float) -> float:
        """Return the tokens still to be processed, less those processed of the current prompt."""
        return sum(self._totals.values()) - self._processed_tokens(prefill_rate, now)

    def tokens_ahead(self, tier: int, prefill_rate: float, now: float) -> float:
        """Return the tokens that are processed before a new prompt of a tier."""
        total = sum(tokens for other, tokens in self._totals.items() if other <= tier)
        if self._current is not None and self._prompts[self._current].tier > tier:
            total += self._prompts[self._current].tokens
        return total - self._processed_tokens(prefill_rate, now)

    @property
    def is_busy(self) -> bool:
        """Return whether a prompt is queued or being processed."""
        return bool(self._prompts)

    def idle_seconds(self, now: float) -> float:
        """Return for how many seconds no prompt has been processed, 0 while one is."""
        return 0.0 if self._prompts else max(0.0, now - self._idle_since)

    def _remove(self, request: int) -> bool:
        prompt = self._prompts.pop(request, None)
        if prompt is None:
            return False
        self._totals[prompt.tier] -= prompt.tokens
        return True

    def _processed_tokens(self, prefill_rate: float, now: float) -> float:
        if self._current is None:
            return 0.0
        tokens = self._prompts[self._current].tokens
        return min(float(tokens), max(0.0, now - self._current_since) * prefill_rate)

    def _start_next(self, now: float) -> None:
        """Start the most urgent prompt, and among these the oldest."""
        self._current_since = self._idle_since = now
        self._current = min(
            self._prompts, key=lambda request: self._prompts[request].tier, default=None
        )
