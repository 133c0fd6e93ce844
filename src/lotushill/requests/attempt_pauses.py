"""What the pauses between the events of one attempt tell of its upstream and its service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.requests.attempt_reporter import AttemptReporter
    from lotushill.requests.parts import GatewayParts
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request


class AttemptPauses:
    """Learns from the events of one stream."""

    def __init__(
        self, parts: GatewayParts, request: Request, upstream: Upstream, news: AttemptReporter
    ) -> None:
        self._parts = parts
        self._service = request.service.name
        self._upstream = upstream
        self._news = news
        self._models_all = parts.placer.has_full_model()
        """Whether all that runs at the upstream is known, so that its pauses can be explained."""
        self._last_at = 0.0
        self._waiting = 0.0
        """Seconds of reading that were due at the upstream when the last event came."""

    def note(self, now: float) -> None:
        """Note that events have come."""
        if self._last_at:
            pause = now - self._last_at
            self._news.report_pause(pause)
            self._parts.mover.stalls.note(self._service, pause)
        if self._models_all:
            due = self._due_reading(now)
            if self._last_at:
                self._explain(now, due)
            self._waiting = due
        self._last_at = now

    def _explain(self, now: float, due: float) -> None:
        """Learn from the pause that ends now, while readings of `due` seconds are still due."""
        load = self._parts.fleet.load(self._upstream.id)
        pauses = self._parts.fleet.pace(self._service).pauses
        slowness = load.pace.step_slowness(now)
        ratio = pauses.note(now - self._last_at, self._waiting, len(load.running), slowness)
        if ratio is not None and not due:
            load.pace.note_pause_ratio(ratio, now)

    def _due_reading(self, now: float) -> float:
        """Return the seconds of reading that are due at the upstream."""
        load = self._parts.fleet.load(self._upstream.id)
        rate = self._parts.fleet.pace(self._service).read_rate
        return load.prefill_queue.remaining_tokens(rate, now) / rate
