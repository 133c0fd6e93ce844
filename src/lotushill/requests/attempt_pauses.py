"""Pauses between the events of one attempt, as measurements of its upstream and service."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.requests.attempt_reporter import AttemptReporter
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request


class AttemptPauses:
    """Updates the pace of a service and an upstream from the event times of one stream."""

    def __init__(
        self,
        components: GatewayComponents,
        request: Request,
        upstream: Upstream,
        reporter: AttemptReporter,
    ) -> None:
        self._components = components
        self._service = request.service.name
        self._upstream = upstream
        self._reporter = reporter
        self._has_full_model = components.placer.has_full_model()
        """Whether all requests at the upstream are known, so that its pauses can be explained."""
        self._last_at = 0.0
        self._last_due = 0.0
        """Seconds of prefill that were due at the upstream when the last event arrived."""

    def note(self, now: float) -> None:
        """Record the arrival of one or more events."""
        if self._last_at:
            pause = now - self._last_at
            self._reporter.report_pause(pause)
            self._components.mover.stalls.note(self._service, pause)
        if self._has_full_model:
            due = self._due_prefill(now)
            if self._last_at:
                self._update_models(now, due)
            self._last_due = due
        self._last_at = now

    def _update_models(self, now: float, due: float) -> None:
        """Update the models from the pause that ends now.

        `due` is the time in seconds for prefills that are still due at the upstream.
        """
        load = self._components.fleet.load(self._upstream.id)
        pauses = self._components.fleet.pace(self._service).pauses
        slowness = load.pace.step_slowness(now)
        ratio = pauses.note(now - self._last_at, self._last_due, len(load.running), slowness)
        if ratio is not None and not due:
            load.pace.note_pause_ratio(ratio, now)

    def _due_prefill(self, now: float) -> float:
        """Return the seconds that the upstream needs for all prefills that are due there."""
        load = self._components.fleet.load(self._upstream.id)
        rate = self._components.fleet.pace(self._service).prefill_rate
        return load.prefill_queue.remaining_tokens(rate, now) / rate
