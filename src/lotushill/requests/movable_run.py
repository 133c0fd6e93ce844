"""A run whose stream this gateway holds, as far as moving it needs to know."""

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

_FIRST_AGAIN_SECONDS = 0.2
"""After a handover that came to nothing, within the shortest notice of an upstream."""
_LONGEST_AGAIN_SECONDS = 1.6
_LEAST_EVENTS = 8
"""Below it the pauses of the run itself say nothing of its pace."""


class MovableRun:
    """One run at one upstream, from its first event to the end of its stream."""

    def __init__(
        self,
        request: Request,
        upstream: Upstream,
        splitter: EventSplitter,
        copied: bool,
        close_stream: Callable[[], None],
        now: float,
    ) -> None:
        """Follow a run since its first event; `close_stream` ends its connection.

        `copied` says that a copy of its memory grows elsewhere.
        """
        self.request = request
        self.upstream = upstream
        self.close_stream = close_stream
        self._copied = copied
        self._pause = _FIRST_AGAIN_SECONDS
        self.handover: Handover | None = None
        """The latest one."""
        self.ended = False
        """Whether its stream has ended, in whatever way."""
        self._splitter = splitter
        self._first_events = splitter.event_count
        self._first_at = now
        self._last_at = now
        self._waits_since = math.inf
        self._not_before = now

    def note_event(self, now: float) -> None:
        """Note that events have come, which its client has yet to take."""
        self._last_at = now
        self._waits_since = math.inf

    def note_delivered(self, now: float) -> None:
        """Note that its client has taken all events, so that a pause is its upstream's."""
        self._waits_since = now

    def is_stalled(self, now: float, patience: float) -> bool:
        """Return whether nothing has come for so long, and moving it is the only way on."""
        if self._copied or self.request.route.resumable:
            return False
        return now - self._waits_since >= patience

    def may_move(self, now: float) -> bool:
        """Return whether a handover can be tried now: one at a time, each a while apart."""
        if now < self._not_before or self._splitter.event_count == 0:
            return False
        return self.handover is None or not self.handover.run_stopped

    def begin_handover(self) -> None:
        """Note that a handover is tried."""
        self._not_before = math.inf

    def end_handover(self, now: float) -> None:
        """Note that it is over; another one is tried after a pause that grows."""
        self._not_before = now + self._pause
        self._pause = min(_LONGEST_AGAIN_SECONDS, 2 * self._pause)

    def event_count(self) -> int:
        """Return how many events of its answer have come."""
        return self._splitter.event_count

    @property
    def tokens(self) -> int:
        """Return the tokens in its memory."""
        return self.request.need.prompt_tokens + self._splitter.event_count * self._stride

    @property
    def _stride(self) -> int:
        engine = self.request.service.engine
        return max(1, engine.tokens_per_event) if engine else 1

    def state(
        self, now: float, usual_pause: float | None, leaves_in: float | None, stalled: bool
    ) -> RunState:
        """Return what decides whether it is moved."""
        request = self.request
        events = self._splitter.event_count - self._first_events
        pause = usual_pause
        if events >= _LEAST_EVENTS or pause is None:
            pause = (self._last_at - self._first_at) / max(1, events)
        return RunState(
            tokens=self.tokens,
            made=self._splitter.event_count,
            expected=request.need.output_tokens / self._stride,
            pause=pause,
            usual_pause=pause if usual_pause is None else usual_pause,
            time_left=request.ends - now,
            gap=request.need.target_gap,
            repeatable=request.route.repeatable,
            copied=self._copied,
            leaves_in=leaves_in,
            stalled=stalled,
        )
