"""Pace of the upstreams of a service, measured from the events that gateways observe."""

from __future__ import annotations

from lotushill.placement.interruption_rate import InterruptionRate
from lotushill.placement.messages import Outcome
from lotushill.placement.pauses import Pauses

_INITIAL_PREFILL_RATE = 40_000.0
_INITIAL_ANSWER_SECONDS = 0.1
_FAST_ANSWER_WEIGHT = 0.08
_SLOW_ANSWER_WEIGHT = 0.02
_RATE_WEIGHT = 0.04
_MAX_RATE_FACTOR = 2.0
_INITIAL_STREAM_SECONDS = 2.0
_MIN_RATE_TOKENS = 400
"""Number of prompt tokens below which the time to the first event says little about the prefill
rate."""
_MIN_PACE_TOKENS = 1500
"""Number of prompt tokens below which the time to the first event says little about the pace of one
engine."""
_OVERHEAD_SECONDS = 0.012
_LONG_PREFILL_RISE_WEIGHT = 0.5
_LONG_PREFILL_FALL_WEIGHT = 0.01
_MIN_PREFILL_RATE = 2_000.0
_MAX_PREFILL_RATE = 2_000_000.0


def seconds_per_token(tokens: float, seconds: float) -> float | None:
    """Return the prefill seconds per prompt token until a first event.

    None if too few tokens were processed for an estimate.
    """
    if tokens < _MIN_PACE_TOKENS:
        return None
    return max(0.001, seconds - _OVERHEAD_SECONDS) / tokens


class ServicePace:
    """Moving averages for one service."""

    def __init__(self) -> None:
        self.prefill_rate = _INITIAL_PREFILL_RATE
        """Prompt tokens that one engine processes per second."""
        self.pauses = Pauses()
        """Pauses between the events of a stream."""
        self.interruptions = InterruptionRate()
        """Rate of streams whose upstream was lost."""
        self.answer_seconds = _INITIAL_ANSWER_SECONDS
        """Seconds that a plain request takes, without waiting."""
        self.long_prefill_seconds = 0.0
        """Seconds of prefill of the longer prompts in the current mix."""

        self.stream_seconds = _INITIAL_STREAM_SECONDS
        """Seconds that a stream runs."""

    def note_end(self, seconds: float, outcome: Outcome, now: float) -> None:
        """Update the averages from the end of a stream that ran for `seconds`."""
        if outcome is Outcome.WHOLE:
            self.stream_seconds += _RATE_WEIGHT * (seconds - self.stream_seconds)
        self.interruptions.note(seconds, outcome is Outcome.CUT, now)

    def note_first_event(self, tokens: float, seconds: float) -> None:
        """Update the prefill rate from a stream's first event.

        `tokens` is the number of prompt tokens processed until then.
        """
        if tokens < _MIN_RATE_TOKENS:
            return
        prefill_seconds = max(0.001, seconds - _OVERHEAD_SECONDS)
        rate = min(_MAX_PREFILL_RATE, max(_MIN_PREFILL_RATE, tokens / prefill_seconds))
        # A rate far from the average belongs to a request that waited behind, or overtook, requests
        # that the model does not cover.
        rate = min(
            _MAX_RATE_FACTOR * self.prefill_rate, max(self.prefill_rate / _MAX_RATE_FACTOR, rate)
        )
        self.prefill_rate += _RATE_WEIGHT * (rate - self.prefill_rate)

    def note_answer(self, seconds: float) -> None:
        """Update the average from a plain answer."""
        weight = _FAST_ANSWER_WEIGHT if seconds < self.answer_seconds else _SLOW_ANSWER_WEIGHT
        self.answer_seconds += weight * (seconds - self.answer_seconds)

    def note_prefill(self, tokens: int) -> None:
        """Update the level of long prompts in the current mix; it rises fast and falls slowly."""
        seconds = tokens / self.prefill_rate
        weight = (
            _LONG_PREFILL_RISE_WEIGHT
            if seconds > self.long_prefill_seconds
            else _LONG_PREFILL_FALL_WEIGHT
        )
        self.long_prefill_seconds += weight * (seconds - self.long_prefill_seconds)
