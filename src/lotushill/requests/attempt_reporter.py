"""What one attempt tells the fleet while it runs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.learning import PACE_SAMPLE_PAUSES
from lotushill.placement.messages import Outcome
from lotushill.requests.attempt_end import EndKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.scheduling.shared_load import SharedLoad

_PACE_RANK = 2
"""Of the sorted pauses, the one that is told: two may be too short since events were read together,
and five too long since prompts were read beside them."""
_OUTCOMES = {
    EndKind.WHOLE: Outcome.WHOLE,
    EndKind.FAILED: Outcome.FAILED,
    EndKind.REJECTED: Outcome.FAILED,
    EndKind.NOT_SENT: Outcome.NOT_SENT,
    EndKind.BARRED: Outcome.UNKNOWN,
    EndKind.MOVED: Outcome.UNKNOWN,
}


class AttemptReporter:
    """Tells of one attempt by its number."""

    def __init__(self, shared_load: SharedLoad, request: int, on_ran: Callable[[], None]) -> None:
        """Tell of the attempt `request`; `on_ran` hears that an upstream ran it."""
        self._shared_load = shared_load
        self._request = request
        self._on_ran = on_ran
        self._pauses: list[float] = []
        self._began = False

    def report_first_event(self, seconds: float) -> None:
        """Tell of the first event, so long after the request was sent."""
        self._began = True
        self._on_ran()
        self._shared_load.begin(self._request, seconds)

    def report_pause(self, seconds: float) -> None:
        """Take in a pause between two events; the first ones tell the pace of the upstream."""
        if len(self._pauses) == PACE_SAMPLE_PAUSES:
            return
        self._pauses.append(seconds)
        if len(self._pauses) == PACE_SAMPLE_PAUSES:
            self._shared_load.note_paced(self._request, sorted(self._pauses)[_PACE_RANK])

    def report_silence(self) -> None:
        """Tell that the upstream is silent, though an answer may still come."""
        self._shared_load.end(self._request, Outcome.FAILED)

    def report_end(self, kind: EndKind | None, seconds: float) -> None:
        """Tell the end of an attempt that ran for so long; None where it was given up."""
        if kind is None:
            outcome = Outcome.UNKNOWN
        elif kind is EndKind.BROKEN:
            outcome = Outcome.CUT if self._began else Outcome.FAILED
        else:
            outcome = _OUTCOMES[kind]
            if kind is EndKind.FAILED:
                self._on_ran()
        self._shared_load.end(self._request, outcome, seconds)
