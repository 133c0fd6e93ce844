"""How fast the upstreams of a service work, learned from what gateways see."""

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
"""Tokens below which the time to the first event says little of the reading rate."""
_CLEAR_READING = 1500
"""Tokens below which it says little of the pace of one engine."""
_OVERHEAD_SECONDS = 0.012
_LONG_RISE = 0.5
_LONG_FALL = 0.01
_LOWEST_RATE = 2_000.0
_HIGHEST_RATE = 2_000_000.0


def seconds_per_token(reading: float, seconds: float) -> float | None:
    """Return the seconds that each token took until a first event; None if that says little."""
    if reading < _CLEAR_READING:
        return None
    return max(0.001, seconds - _OVERHEAD_SECONDS) / reading


class ServicePace:
    """Moving averages for one service."""

    def __init__(self) -> None:
        self.read_rate = _FIRST_READ_RATE
        """Prompt tokens that one engine reads in a second."""
        self.pauses = Pauses()
        """Between the events of a stream."""
        self.cuts = CutRate()
        """Of streams whose upstream was lost."""
        self.answer_seconds = _FIRST_ANSWER_SECONDS
        """Seconds that a plain request takes, without waiting."""
        self.long_prefill_seconds = 0.0
        """Seconds that reading the longer prompts of the moment takes."""

        self.stream_seconds = _FIRST_STREAM_SECONDS
        """Seconds that a stream runs."""

    def note_end(self, seconds: float, outcome: Outcome, now: float) -> None:
        """Learn from the end of a stream that ran for some seconds."""
        if outcome is Outcome.WHOLE:
            self.stream_seconds += _RATE_WEIGHT * (seconds - self.stream_seconds)
        self.cuts.note(seconds, outcome is Outcome.CUT, now)

    def note_first_event(self, reading: float, seconds: float) -> None:
        """Learn from a stream's first event, with `reading` tokens read until then."""
        if reading < _LEAST_READING:
            return
        busy = max(0.001, seconds - _OVERHEAD_SECONDS)
        rate = min(_HIGHEST_RATE, max(_LOWEST_RATE, reading / busy))
        # One far from the average waited behind, or overtook, what the model does not see.
        rate = min(_LIKELY * self.read_rate, max(self.read_rate / _LIKELY, rate))
        self.read_rate += _RATE_WEIGHT * (rate - self.read_rate)

    def note_answer(self, seconds: float) -> None:
        """Learn from a plain answer."""
        weight = _WEIGHT if seconds < self.answer_seconds else _SLOW_WEIGHT
        self.answer_seconds += weight * (seconds - self.answer_seconds)

    def note_prefill(self, tokens: int) -> None:
        """Learn the mix of prompts: the level moves quickly up and slowly down."""
        seconds = tokens / self.read_rate
        weight = _LONG_RISE if seconds > self.long_prefill_seconds else _LONG_FALL
        self.long_prefill_seconds += weight * (seconds - self.long_prefill_seconds)
