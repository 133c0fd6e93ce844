"""Decides which upstreams are asked, and when, to continue a stopped run from its memory."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.requests.handover import RunMemory

_FIRST_PAUSE_SECONDS = 0.03
_MAX_PAUSE_SECONDS = 0.4
_MAX_LOSSES_IN_A_ROW = 1
"""Connections lost in a row from which the same upstream is asked only after the others."""
_DROP_SECONDS = 0.5
"""Time after a lost connection within which its upstream may still work on the run."""


class ContinuationTries:
    """Upstreams that were asked to continue one run, which is continued at one of them at most."""

    def __init__(self, ends_at: float) -> None:
        """Ask until `ends_at`."""
        self._ends_at = ends_at
        self._pause = _FIRST_PAUSE_SECONDS
        self._asked: set[str] = set()
        self._gone: set[str] = set()
        self._lost_connection: tuple[str, float] | None = None
        """Upstream that may have run it last, and when the connection to it ended."""
        self._losses = 0
        """Connections to that upstream that were lost in a row."""

    def may_ask(self, upstream_id: str, now: float) -> bool:
        """Return whether an upstream may be asked now.

        After a lost connection the same upstream may be asked once more at once, as it accepts each
        handle once; another one only after the first would have dropped the run.
        """
        if upstream_id in self._gone:
            return False
        if self._lost_connection is None:
            return True
        lost_id, lost_at = self._lost_connection
        if lost_id == upstream_id:
            return self._losses <= _MAX_LOSSES_IN_A_ROW or now >= lost_at + 2 * _DROP_SECONDS
        return now >= lost_at + _DROP_SECONDS

    def was_asked(self, upstream_id: str) -> bool:
        """Return whether an upstream was asked before."""
        return upstream_id in self._asked

    def any_left(self, memories: Iterable[RunMemory]) -> bool:
        """Return whether an upstream is left that may still hold the memory of the run."""
        return any(memory.upstream.id not in self._gone for memory in memories)

    def note_refusal(self, upstream_id: str, may_have_run: bool, is_gone: bool, now: float) -> None:
        """Record that an upstream has not continued the run.

        `may_have_run` states that it was sent the run and did not refuse it, so that it may still
        work on it; `is_gone` that it has ended with its memory.
        """
        self._asked.add(upstream_id)
        lost_id = self._lost_connection[0] if self._lost_connection is not None else ""
        if is_gone:
            self._gone.add(upstream_id)
        if may_have_run and not is_gone:
            self._losses = self._losses + 1 if lost_id == upstream_id else 1
            self._lost_connection = (upstream_id, now)
        elif is_gone or lost_id != upstream_id:
            # The upstream has ended, or has dropped the run by now, as another one was asked.
            self._lost_connection = None

    def next_pause(self, now: float) -> float | None:
        """Return the seconds until the next round of asking, None if there is none."""
        if now >= self._ends_at:
            return None
        pause, self._pause = self._pause, min(_MAX_PAUSE_SECONDS, 2 * self._pause)
        return min(pause, self._ends_at - now)
