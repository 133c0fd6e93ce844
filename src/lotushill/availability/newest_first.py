"""Which of many facts fit one datagram. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

_NEWEST = 8
_OTHERS = 8


class NewestFirst:
    """Chooses what became known last, and some of the others in turn by lot.

    The load that it answers: hundreds of engines say something of themselves at the same time. One
    more word among them is to be known to all within a moment, and the others some time.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._since: dict[str, float] = {}

    def note(self, name: str, now: float) -> None:
        """Note that something of a name became known."""
        self._since[name] = now

    def choose(self, names: Iterable[str]) -> list[str]:
        """Return those to tell of now, and forget all that are not among the names."""
        known = set(names)
        self._since = {name: at for name, at in self._since.items() if name in known}
        newest = self._newest()
        others = sorted(known - set(newest))
        return newest + self._rng.sample(others, min(_OTHERS, len(others)))

    def covers_newest(self, told: Iterable[str]) -> bool:
        """Return whether somebody told of all that became known last here."""
        return set(self._newest()) <= set(told)

    def _newest(self) -> list[str]:
        return sorted(self._since, key=self._since.__getitem__, reverse=True)[:_NEWEST]
