"""Detects unreachable halls, by the load batches of their schedulers. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.schedulers import Schedulers

SILENCE_TIMEOUT_SECONDS = 0.8
"""Time without a batch after which a hall counts as silent: three missed batches and some jitter.
The membership alone is too slow for this: it probes the members of a large hall one by one, and
takes many seconds until it marks the last member of an unreachable hall as lost."""


class HallContact:
    """Tracks when the last batch of each scheduler was received."""

    def __init__(self, schedulers: Schedulers) -> None:
        self._schedulers = schedulers
        self._last_batch_at: dict[str, float] = {}
        self._listening_since: float | None = None

    def note_batch(self, scheduler: str, now: float) -> None:
        """Note that a batch of a scheduler was received."""
        self._last_batch_at[scheduler] = now

    def update_listening(self, now: float) -> None:
        """Note whether this gateway receives batches at all."""
        receives_batches = self._schedulers.is_scheduler() and not self._schedulers.is_small_fleet()
        if not receives_batches:
            self._listening_since = None
        elif self._listening_since is None:
            self._listening_since = now

    def is_silent(self, hall: str, now: float) -> bool:
        """Return whether a hall has schedulers and no batch of them was received recently."""
        since = self._listening_since
        if since is None or now - since < SILENCE_TIMEOUT_SECONDS:
            return False
        names = self._schedulers.names_by_hall().get(hall, ())
        return bool(names) and all(
            now - self._last_batch_at.get(name, since) >= SILENCE_TIMEOUT_SECONDS for name in names
        )
