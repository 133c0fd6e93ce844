"""Pace of the upstreams of a service, measured from the events that gateways observe."""

from __future__ import annotations

from lotushill.placement.cut_rate import CutRate
from lotushill.placement.messages import Outcome
from lotushill.placement.pauses import Pauses

_FIRST_READ_RATE = 40_000.0
_FIRST_ANSWER_SECONDS = 0.1
_WEIGHT = 0.08
_SLOW_WEIGHT = 0.02
_RATE_WEIGHT = 0.04
_LIKELY = 2.0
_FIRST_STREAM_SECONDS = 2.0
_LEAST_READING = 400
"""Number of prompt tokens below which the time to the first event says little about the prefill
rate."""
_CLEAR_READING = 1500
"""Number of prompt tokens below which the time to the first event says little about the pace of one
engine."""
_OVERHEAD_SECONDS = 0.012
_LONG_RISE = 0.5
_LONG_FALL = 0.01
_LOWEST_RATE = 2_000.0
_HIGHEST_RATE = 2_000_000.0


def seconds_per_token(reading: float, seconds: float) -> float | None:
    """Return the prefill seconds per prompt token until a first event.

    None if too few tokens were processed to tell.
    """
    if reading < _CLEAR_READING:
        return None
    return max(0.001, seconds - _OVERHEAD_SECONDS) / reading


class ServicePace:
    """Moving averages for one service."""

    def __init__(self) -> None:
        self.read_rate = _FIRST_READ_RATE
        """Prompt tokens that one engine processes per second."""
        self.pauses = Pauses()
        """Pauses between the events of a stream."""
        self.cuts = CutRate()
        """Rate of streams whose upstream was lost."""
        self.answer_seconds = _FIRST_ANSWER_SECONDS
        """Seconds that a plain request takes, without waiting."""
        self.long_prefill_seconds = 0.0
        """Seconds of prefill of the longer prompts in the current mix."""

        self.stream_seconds = _FIRST_STREAM_SECONDS
        """Seconds that a stream runs."""

    def note_end(self, seconds: float, outcome: Outcome, now: float) -> None:
        """Update the averages from the end of a stream that ran for `seconds`."""
        if outcome is Outcome.WHOLE:
            self.stream_seconds += _RATE_WEIGHT * (seconds - self.stream_seconds)
        self.cuts.note(seconds, outcome is Outcome.CUT, now)

    def note_first_event(self, reading: float, seconds: float) -> None:
        """Update the prefill rate from a stream's first event.

        `reading` is the number of prompt tokens processed until then.
        """
        if reading < _LEAST_READING:
            return
        busy = max(0.001, seconds - _OVERHEAD_SECONDS)
        rate = min(_HIGHEST_RATE, max(_LOWEST_RATE, reading / busy))
        # A rate far from the average belongs to a request that waited behind, or overtook, requests
        # that the model does not cover.
        rate = min(_LIKELY * self.read_rate, max(self.read_rate / _LIKELY, rate))
        self.read_rate += _RATE_WEIGHT * (rate - self.read_rate)

    def note_answer(self, seconds: float) -> None:
        """Update the average from a plain answer."""
        weight = _WEIGHT if seconds < self.answer_seconds else _SLOW_WEIGHT
        self.answer_seconds += weight * (seconds - self.answer_seconds)

    def note_prefill(self, tokens: int) -> None:
        """Update the level of long prompts in the current mix; it rises fast and falls slowly."""
        seconds = tokens / self.read_rate
        weight = _LONG_RISE if seconds > self.long_prefill_seconds else _LONG_FALL
        self.long_prefill_seconds += weight * (seconds - self.long_prefill_seconds)
