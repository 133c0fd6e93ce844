"""Reports of one attempt to the load that all gateways share."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from lotushill.placement.learning import PACE_SAMPLE_PAUSES
from lotushill.placement.messages import Outcome
from lotushill.requests.attempt_end import EndKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.placement.messages import Placed
    from lotushill.routing.service import Service
    from lotushill.scheduling.shared_load import SharedLoad

_REPORTED_PAUSE_INDEX = 2
"""Index of the reported pause among the sorted pauses of an attempt.

Two pauses may be too short, because several events were read together, and five too long, because
the engine made prefills of other requests in between.
"""
_OUTCOMES = {
    EndKind.WHOLE: Outcome.WHOLE,
    EndKind.FAILED: Outcome.FAILED,
    EndKind.REJECTED: Outcome.FAILED,
    EndKind.NOT_SENT: Outcome.NOT_SENT,
    EndKind.BARRED: Outcome.UNKNOWN,
    EndKind.MOVED: Outcome.UNKNOWN,
}


class AttemptReporter:
    """Reports the progress and end of one attempt under the number of its request."""

    def __init__(
        self,
        shared_load: SharedLoad,
        placed: Placed,
        service: Service,
        on_ran: Callable[[], None],
        new_number: Callable[[], int] | None = None,
    ) -> None:
        """Report the attempt that was started as `placed`.

        `on_ran` is called when an upstream has run it. With `new_number`, an attempt at a silent
        upstream goes on occupying a slot there, under another number.
        """
        self._shared_load = shared_load
        self._placed = placed
        self._service = service
        self._request = placed.request
        self._on_ran = on_ran
        self._new_number = new_number
        self._is_silent = False
        self._pauses: list[float] = []
        self._has_started = False

    def report_first_event(self, seconds: float) -> None:
        """Report the first event, `seconds` after the request was sent."""
        self._has_started = True
        self._on_ran()
        if not self._is_silent:
            self._shared_load.begin(self._request, seconds)

    def report_pause(self, seconds: float) -> None:
        """Record a pause between two events; the first few give the pace of the upstream."""
        if len(self._pauses) == PACE_SAMPLE_PAUSES:
            return
        self._pauses.append(seconds)
        if len(self._pauses) == PACE_SAMPLE_PAUSES:
            self._shared_load.note_paced(self._request, sorted(self._pauses)[_REPORTED_PAUSE_INDEX])

    def report_silence(self) -> None:
        """Report that the upstream is silent, although an answer may still arrive."""
        self._shared_load.end(self._request, Outcome.FAILED)
        if self._new_number is not None and not self._is_silent:
            self._request = self._new_number()
            self._shared_load.start(replace(self._placed, request=self._request), self._service)
        self._is_silent = True

    def report_end(self, kind: EndKind | None, seconds: float) -> None:
        """Report the end after `seconds`; `kind` is None if the attempt was cancelled."""
        if kind is None:
            outcome = Outcome.UNKNOWN
        elif kind is EndKind.BROKEN:
            outcome = Outcome.CUT if self._has_started else Outcome.FAILED
        else:
            outcome = _OUTCOMES[kind]
            if kind is EndKind.FAILED:
                self._on_ran()
        if self._is_silent:
            # The failure is reported, and an answer that arrives late is no measure of its pace.
            outcome = Outcome.UNKNOWN
        self._shared_load.end(self._request, outcome, seconds)
