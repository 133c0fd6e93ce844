"""Selects which of many facts go into one datagram. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

_NEWEST_COUNT = 8
_SAMPLED_COUNT = 8


class NewestFirst:
    """Selects the facts that changed last, and a random sample of the others.

    Load case: hundreds of engines state something about themselves at the same time. One further
    statement among them has to reach all gateways within a moment, the others eventually.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._changed_at: dict[str, float] = {}

    def note(self, name: str, now: float) -> None:
        """Record that the fact stored under a name changed."""
        self._changed_at[name] = now

    def choose(self, names: Iterable[str]) -> list[str]:
        """Return the names to announce now, and forget those that are not among `names`."""
        known = set(names)
        self._changed_at = {name: at for name, at in self._changed_at.items() if name in known}
        newest = self._newest()
        others = sorted(known - set(newest))
        return newest + self._rng.sample(others, min(_SAMPLED_COUNT, len(others)))

    def covers_newest(self, names: Iterable[str]) -> bool:
        """Return whether an announcement covered all names that changed last here."""
        return set(self._newest()) <= set(names)

    def _newest(self) -> list[str]:
        return sorted(self._changed_at, key=self._changed_at.__getitem__, reverse=True)[
            :_NEWEST_COUNT
        ]
