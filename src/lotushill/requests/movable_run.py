"""State of a run whose stream this gateway relays, as needed for moving it."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lotushill.moves.move_plan import RunState

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.handover import Handover
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request

_FIRST_RETRY_PAUSE_SECONDS = 0.2
"""Pause after the first failed handover; shorter than the shortest notice of an upstream."""
_MAX_RETRY_PAUSE_SECONDS = 1.6
"""Longest pause between two handovers of a run."""
_MIN_EVENTS_FOR_PACE = 8
"""Number of events below which the pauses of the run itself do not indicate its pace."""


class MovableRun:
    """One run at one upstream, from its first event to the end of its stream."""

    def __init__(
        self,
        request: Request,
        upstream: Upstream,
        splitter: EventSplitter,
        has_backup: bool,
        was_moved: bool,
        close_stream: Callable[[], None],
        now: float,
    ) -> None:
        """Track a run from its first event; `close_stream` closes its connection.

        `has_backup` states that its memory is being copied to another upstream while it runs.
        """
        self.request = request
        self.upstream = upstream
        self.close_stream = close_stream
        self._has_backup = has_backup
        self._was_moved = was_moved
        self._retry_pause = _FIRST_RETRY_PAUSE_SECONDS
        self.handover: Handover | None = None
        """Latest handover of the run, None if there was none."""
        self.ended = False
        """Whether the stream of the run has ended, in any way."""
        self.blocked_seconds_at_start = 0.0
        """Time for which the gateway had been blocked before the run's first event."""
        self._splitter = splitter
        self._first_events = splitter.event_count
        self._first_at = now
        self._last_at = now
        self._delivered_at = math.inf
        self._next_handover_at = now

    def note_event(self, now: float) -> None:
        """Record that events have arrived, which the client has not received yet."""
        self._last_at = now
        self._delivered_at = math.inf

    def note_delivered(self, now: float) -> None:
        """Record that the client has received all events, so a pause is due to the upstream."""
        self._delivered_at = now

    def is_stalled(self, now: float, threshold: float) -> bool:
        """Return whether the run is stalled and can only be continued by moving it.

        It is stalled if no event has arrived for `threshold` seconds.
        """
        if self._has_backup or self.request.route.resumable:
            return False
        return now - self._delivered_at >= threshold

    def may_move(self, now: float) -> bool:
        """Return whether a handover can start now: one at a time, with pauses in between."""
        if now < self._next_handover_at or self._splitter.event_count == 0:
            return False
        return self.handover is None or not self.handover.run_stopped

    def begin_handover(self) -> None:
        """Record that a handover is in progress."""
        self._next_handover_at = math.inf

    def end_handover(self, now: float) -> None:
        """Record the end of a handover; the next one may start after a pause that doubles."""
        self._next_handover_at = now + self._retry_pause
        self._retry_pause = min(_MAX_RETRY_PAUSE_SECONDS, 2 * self._retry_pause)

    def event_count(self) -> int:
        """Return the number of events received of the answer."""
        return self._splitter.event_count

    @property
    def tokens(self) -> int:
        """Return the number of tokens in the memory of the run."""
        return self.request.need.prompt_tokens + self._splitter.event_count * self._tokens_per_event

    @property
    def _tokens_per_event(self) -> int:
        engine = self.request.service.engine
        return max(1, engine.tokens_per_event) if engine else 1

    def state(
        self,
        now: float,
        typical_pause: float | None,
        leaves_in: float | None,
        stalled: bool,
        blocked_seconds: float,
    ) -> RunState:
        """Return the state by which it is decided whether the run is moved.

        `blocked_seconds` is the time for which the gateway was blocked so far; the pauses that this
        makes are not those of the run.
        """
        request = self.request
        events = self._splitter.event_count - self._first_events
        pause = typical_pause
        if events >= _MIN_EVENTS_FOR_PACE or pause is None:
            blocked = blocked_seconds - self.blocked_seconds_at_start
            pause = max(0.0, self._last_at - self._first_at - blocked) / max(1, events)
        return RunState(
            tokens=self.tokens,
            events_produced=self._splitter.event_count,
            expected_events=request.need.output_tokens / self._tokens_per_event,
            mean_pause=pause,
            typical_pause=pause if typical_pause is None else typical_pause,
            time_left=request.ends - now,
            target_gap=request.need.target_gap,
            repeatable=request.route.repeatable,
            has_backup=self._has_backup,
            leaves_in=leaves_in,
            stalled=stalled,
            was_moved=self._was_moved,
        )
