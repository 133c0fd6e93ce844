"""Which halls are heard, told by the batches of their schedulers. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.membership.schedulers import Schedulers

SILENCE_TIMEOUT_SECONDS = 0.8
"""Three batches that did not come, and some jitter. Members of a large hall are probed one by one,
so that it takes many seconds until the last of a hall that was cut off is taken for lost."""


class HallContact:
    """When the schedulers of each hall were last heard."""

    def __init__(self, schedulers: Schedulers) -> None:
        self._schedulers = schedulers
        self._heard: dict[str, float] = {}
        self._listens_since: float | None = None

    def note_batch(self, scheduler: str, now: float) -> None:
        """Note a batch of a scheduler."""
        self._heard[scheduler] = now

    def update_listening(self, now: float) -> None:
        """Note whether this gateway is told batches at all."""
        told = self._schedulers.is_scheduler() and not self._schedulers.is_small_fleet()
        if not told:
            self._listens_since = None
        elif self._listens_since is None:
            self._listens_since = now

    def is_silent(self, hall: str, now: float) -> bool:
        """Return whether a hall has schedulers, and none of them is heard."""
        since = self._listens_since
        if since is None or now - since < SILENCE_TIMEOUT_SECONDS:
            return False
        names = self._schedulers.names_by_hall().get(hall, ())
        return bool(names) and all(
            now - self._heard.get(name, since) >= SILENCE_TIMEOUT_SECONDS for name in names
        )
