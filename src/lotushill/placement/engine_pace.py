"""Estimates the long-term and short-term pace of each engine relative to its service.

Some engines are permanently twice as slow as others, and any of them can slow down further for some
hundred milliseconds at a time. The long-term pace is a median over seconds, so a disturbance that
fills less than half of them does not change it. It is computed from measured seconds rather than
from ratios to the typical value of that moment, and compared with the median engine rather than the
median request, so the reference does not shift when slow engines receive fewer requests. The
short-term pace is a moving average relative to the long-term pace and decays to it. Performs no
I/O.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

_SLOT_SECONDS = 0.25
"""Length of a time slot, of which only the first sample counts. A disturbance of some hundred
milliseconds fills at most three slots."""
_MOST_SLOTS = 15
_LEAST_STEPS = 3
"""Slots required for a step pace. A stream reports one of its shorter pauses of many, which is
rarely one from a disturbance."""
_LEAST_READINGS = 15
"""Slots required for a prefill pace. Much that a gateway cannot observe lengthens the time to a
first event."""
_LEAST_ANSWERS = 7
"""Slots required for a plain service; three disturbed slots leave the median unchanged."""
_LEAST_ENGINES = 3
"""Engines required for comparison; with fewer, it is undecidable which of them is typical."""
_LEAST_DIFFERENCE = 1.4
"""Ratio from which the pauses of an engine count as different; those of equal engines vary by less.
"""
_LEAST_ANSWER_DIFFERENCE = 1.6
"""Ratio from which plain answers count as different. Plain requests wait for one another, so their
times vary more."""
_LEAST_READING_DIFFERENCE = 3.0
"""Ratio from which prefill times count as different after correction for step pace. Prefills
overlap, so their times vary most."""
_CHANGE = 1.15
"""Factor by which the measured long-term pace must deviate before the stored one is updated."""
_SETTLE_SECONDS = 0.25
_KEPT_SECONDS = 120.0
"""Seconds without samples after which a long-term pace is reset, so that an engine that was avoided
for it is tried again: it may have been repaired."""
_MOST_RATIO = 20.0
_STEP_WEIGHT = 0.03
"""Weight of a single pause: about the last 30 count, which one or two streams produce in a second.
"""
_STREAM_STEP_WEIGHT = 0.2
"""Weight of a typical pause of one stream, equal to about seven single pauses."""
_LEAST_SHORT = 0.5
_FORGET_SECONDS = 20.0
"""Time in which the short-term pace decays. An upstream that slowed down for a while is tried
again; one that is still slow shows it in new samples."""


class RecentMedian:
    """Median of recent times over several seconds."""

    def __init__(self) -> None:
        self._slots: deque[float] = deque(maxlen=_MOST_SLOTS)
        self._slot_ends = float("-inf")
        self.median = 0.0

    def has_slots(self, slots: int) -> bool:
        """Return whether at least this many time slots have a sample."""
        return len(self._slots) >= slots

    def note(self, seconds: float, now: float) -> None:
        """Record one time above 0; only the first in each time slot counts."""
        if now < self._slot_ends:
            return
        self._slot_ends = now + _SLOT_SECONDS
        self._slots.append(seconds)
        self.median = statistics.median(self._slots)


@dataclass(frozen=True)
class LongTermPace:
    """Long-term slowness of an engine relative to the others of its service."""

    upstream: str
    step_slowness: float
    read_slowness: float


class EnginePace:
    """Pace of one engine."""

    def __init__(self) -> None:
        self.steps = RecentMedian()
        self.readings = RecentMedian()
        self.long_term_step_slowness = 1.0
        """Step slowness relative to the other engines; 1 until a difference is established."""
        self.long_term_read_slowness = 1.0
        """Prefill slowness relative to the other engines, in addition to the step slowness."""
        self.is_known = False
        """Whether anything is known about this engine."""
        self.is_plain = False
        """Whether the engine gives plain answers, each of which counts as a prefill."""
        self._seen_at: float | None = None
        """Time of the last long-term sample; None if only another gateway has reported the pace."""
        self._short = 1.0
        self._short_at = 0.0

    def step_slowness(self, now: float) -> float:
        """Return how many times slower than the other engines it makes a step."""
        if self._short == 1.0:
            return self.long_term_step_slowness
        return self.long_term_step_slowness * self._short_part(now)

    def read_slowness(self, now: float) -> float:
        """Return how many times slower than the other engines it processes prompts."""
        return self.step_slowness(now) * self.long_term_read_slowness

    def note_pause_ratio(self, ratio: float, now: float) -> None:
        """Update the short-term pace from one pause between events.

        `ratio` is the ratio of the pause to the typical one.
        """
        self._note(ratio, _STEP_WEIGHT, now)

    def note_stream_ratio(self, ratio: float, now: float) -> None:
        """Update the short-term pace from a typical pause of one stream.

        `ratio` is the ratio of the pause to the typical one of all streams.
        """
        self._note(ratio, _STREAM_STEP_WEIGHT, now)

    def note_pause(self, seconds: float, now: float) -> None:
        """Add a typical pause of one stream, with little concurrent prefill, to the samples.

        These samples determine the long-term step pace.
        """
        self.is_known = True
        self._seen_at = now
        self.steps.note(seconds, now)

    def note_prefill_time(self, seconds: float, now: float) -> None:
        """Add the seconds of prefill per token to the long-term samples."""
        self.is_known = True
        self._seen_at = now
        self.readings.note(seconds, now)

    def note_answer(self, seconds: float, now: float) -> None:
        """Add the seconds of a plain answer to the long-term samples."""
        self.is_plain = True
        self.note_prefill_time(seconds, now)

    def set_long_term(self, steps: float, reading: float) -> None:
        """Set the long-term pace; the total short-term estimate stays unchanged."""
        self._short = max(_LEAST_SHORT, self._short * self.long_term_step_slowness / steps)
        self.long_term_step_slowness = steps
        self.long_term_read_slowness = reading

    def reset_stale(self, now: float) -> None:
        """Reset the long-term pace if there were no samples for a long time."""
        if self._seen_at is None:
            self._seen_at = now
        if now - self._seen_at > _KEPT_SECONDS:
            self._seen_at = now
            self.steps = RecentMedian()
            self.readings = RecentMedian()
            self.set_long_term(1.0, 1.0)

    def adopt_reported(self, steps: float, reading: float) -> None:
        """Adopt the pace reported by another gateway until own samples contradict it."""
        if not self.is_known:
            self.is_known = True
            self.set_long_term(steps, reading)

    def _note(self, ratio: float, weight: float, now: float) -> None:
        current = self._short_part(now)
        bounded = min(_MOST_RATIO, max(_LEAST_SHORT, ratio / self.long_term_step_slowness))
        self._short = current + weight * (bounded - current)
        self._short_at = now

    def _short_part(self, now: float) -> float:
        fresh = max(0.0, 1.0 - max(0.0, now - self._short_at) / _FORGET_SECONDS)
        return 1.0 + (self._short - 1.0) * fresh


class ServiceEnginePaces:
    """Paces of a service's engines, compared with their median."""

    def __init__(self) -> None:
        self._paces: dict[str, EnginePace] = {}
        self._settled_at = float("-inf")
        self.has_deviating = False
        """Whether some engine is known to differ long-term."""
        self.change_count = 0
        """Number of times that a long-term pace was set or changed."""
        self._changed: dict[str, LongTermPace] = {}

    def add(self, upstream: str, pace: EnginePace) -> None:
        """Add an engine."""
        self._paces[upstream] = pace

    def retain(self, upstreams: Collection[str]) -> None:
        """Remove all engines except `upstreams`."""
        for upstream in self._paces.keys() - set(upstreams):
            del self._paces[upstream]

    def known_paces(self) -> list[LongTermPace]:
        """Return the paces of the upstreams of which something is known."""
        return [
            LongTermPace(upstream, pace.long_term_step_slowness, pace.long_term_read_slowness)
            for upstream, pace in self._paces.items()
            if pace.is_known
        ]

    def deviating_paces(self) -> list[LongTermPace]:
        """Return the paces of the upstreams that are known to differ."""
        return [
            item
            for item in self.known_paces()
            if (item.step_slowness, item.read_slowness) != (1.0, 1.0)
        ]

    def adopt_reported(self, told: LongTermPace, pace: EnginePace) -> None:
        """Adopt the pace reported by another gateway for an engine that is unknown here."""
        self.add(told.upstream, pace)
        pace.adopt_reported(told.step_slowness, told.read_slowness)
        self.has_deviating = self.has_deviating or _pair(pace) != (1.0, 1.0)

    def take_changes(self) -> list[LongTermPace]:
        """Return the long-term paces that changed since the last call."""
        changed, self._changed = self._changed, {}
        return list(changed.values())

    def update_long_term(self, now: float) -> None:
        """Compare each engine with the median of all, at a limited rate."""
        if now < self._settled_at + _SETTLE_SECONDS:
            return
        self._settled_at = now
        before = {upstream: _pair(pace) for upstream, pace in self._paces.items()}
        for pace in self._paces.values():
            pace.reset_stale(now)
        usual_step = _usual([pace.steps for pace in self._paces.values()], _LEAST_STEPS)
        usual_reading = _usual([pace.readings for pace in self._paces.values()], _LEAST_ANSWERS)
        wanted = {
            upstream: self._lasting(pace, usual_step, usual_reading)
            for upstream, pace in self._paces.items()
        }
        self.has_deviating = any(pair != (1.0, 1.0) for pair in wanted.values())
        for upstream, (steps, reading) in wanted.items():
            if (steps, reading) != _pair(self._paces[upstream]):
                self._paces[upstream].set_long_term(steps, reading)
            if (steps, reading) != before[upstream]:
                self.change_count += 1
                self._changed[upstream] = LongTermPace(upstream, steps, reading)

    def _lasting(
        self, pace: EnginePace, usual_step: float, usual_reading: float
    ) -> tuple[float, float]:
        """Return the long-term step slowness of one engine and its additional prefill slowness."""
        steps, reading = pace.long_term_step_slowness, pace.long_term_read_slowness
        if usual_step and pace.steps.has_slots(_LEAST_STEPS):
            steps = _follow(steps, pace.steps.median / usual_step, _LEAST_DIFFERENCE)
        slots = _LEAST_ANSWERS if pace.is_plain else _LEAST_READINGS
        if usual_reading and pace.readings.has_slots(slots):
            ratio = pace.readings.median / usual_reading / steps
            least = _LEAST_ANSWER_DIFFERENCE if pace.is_plain else _LEAST_READING_DIFFERENCE
            reading = _follow(reading, ratio, least)
        return steps, reading


def _pair(pace: EnginePace) -> tuple[float, float]:
    return pace.long_term_step_slowness, pace.long_term_read_slowness


def _usual(times: list[RecentMedian], slots: int) -> float:
    """Return the median over the engines, 0 if too few are known to tell which are typical."""
    known = [item.median for item in times if item.has_slots(slots)]
    enough = max(_LEAST_ENGINES, len(times) / 2)
    return statistics.median(known) if len(known) >= enough else 0.0


def _follow(standing: float, seen: float, least: float) -> float:
    """Return the new long-term value for a current one and a measured one."""
    if abs(math.log(seen / standing)) < math.log(_CHANGE):
        return standing
    return seen if abs(math.log(seen)) >= math.log(least) else 1.0
