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
_MAX_SLOTS = 15
_MIN_STEP_SLOTS = 3
"""Slots required for a step pace. A stream reports one of its shorter pauses of many, which is
rarely one from a disturbance."""
_MIN_PREFILL_SLOTS = 15
"""Slots required for a prefill pace. Much that a gateway cannot observe lengthens the time to a
first event."""
_MIN_ANSWER_SLOTS = 7
"""Slots required for a plain service; three disturbed slots leave the median unchanged."""
_MIN_ENGINES = 3
"""Engines required for comparison; with fewer, it is undecidable which of them is typical."""
_MIN_STEP_RATIO = 1.4
"""Ratio from which the pauses of an engine count as different; those of equal engines vary by less.
"""
_MIN_ANSWER_RATIO = 1.6
"""Ratio from which plain answers count as different. Plain requests wait for one another, so their
times vary more."""
_MIN_PREFILL_RATIO = 3.0
"""Ratio from which prefill times count as different after correction for step pace. Prefills
overlap, so their times vary most."""
_MIN_CHANGE_RATIO = 1.15
"""Factor by which the measured long-term pace must deviate before the stored one is updated."""
_UPDATE_INTERVAL_SECONDS = 0.25
_RESET_SECONDS = 120.0
"""Seconds without samples after which a long-term pace is reset, so that an engine that was avoided
for it is tried again: it may have been repaired."""
_MAX_SHORT_TERM_RATIO = 20.0
_PAUSE_WEIGHT = 0.03
"""Weight of a single pause: about the last 30 count, which one or two streams produce in a second.
"""
_STREAM_WEIGHT = 0.2
"""Weight of a typical pause of one stream, equal to about seven single pauses."""
_MIN_SHORT_TERM_RATIO = 0.5
_SHORT_TERM_SECONDS = 20.0
"""Time in which the short-term pace decays. An upstream that slowed down for a while is tried
again; one that is still slow shows it in new samples."""


class RecentMedian:
    """Median of recent times over several seconds."""

    def __init__(self) -> None:
        self._slots: deque[float] = deque(maxlen=_MAX_SLOTS)
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
    prefill_slowness: float


class EnginePace:
    """Pace of one engine."""

    def __init__(self) -> None:
        self.step_pauses = RecentMedian()
        self.prefill_times = RecentMedian()
        self.long_term_step_slowness = 1.0
        """Step slowness relative to the other engines; 1 until a difference is established."""
        self.long_term_prefill_slowness = 1.0
        """Prefill slowness relative to the other engines, in addition to the step slowness."""
        self.is_known = False
        """Whether anything is known about this engine."""
        self.is_plain = False
        """Whether the engine gives plain answers, each of which counts as a prefill."""
        self._sampled_at: float | None = None
        """Time of the last long-term sample; None if only another gateway has reported the pace."""
        self._short_term = 1.0
        self._short_term_at = 0.0

    def step_slowness(self, now: float) -> float:
        """Return how many times slower than the other engines it makes a step."""
        if self._short_term == 1.0:
            return self.long_term_step_slowness
        return self.long_term_step_slowness * self._decayed_short_term(now)

    def prefill_slowness(self, now: float) -> float:
        """Return how many times slower than the other engines it processes prompts."""
        return self.step_slowness(now) * self.long_term_prefill_slowness

    def note_pause_ratio(self, ratio: float, now: float) -> None:
        """Update the short-term pace from one pause between events.

        `ratio` is the ratio of the pause to the typical one.
        """
        self._update_short_term(ratio, _PAUSE_WEIGHT, now)

    def note_stream_ratio(self, ratio: float, now: float) -> None:
        """Update the short-term pace from a typical pause of one stream.

        `ratio` is the ratio of the pause to the typical one of all streams.
        """
        self._update_short_term(ratio, _STREAM_WEIGHT, now)

    def note_pause(self, seconds: float, now: float) -> None:
        """Add a typical pause of one stream, with little concurrent prefill, to the samples.

        These samples determine the long-term step pace.
        """
        self.is_known = True
        self._sampled_at = now
        self.step_pauses.note(seconds, now)

    def note_prefill_time(self, seconds: float, now: float) -> None:
        """Add the seconds of prefill per token to the long-term samples."""
        self.is_known = True
        self._sampled_at = now
        self.prefill_times.note(seconds, now)

    def note_answer(self, seconds: float, now: float) -> None:
        """Add the seconds of a plain answer to the long-term samples."""
        self.is_plain = True
        self.note_prefill_time(seconds, now)

    def set_long_term(self, step_slowness: float, prefill_slowness: float) -> None:
        """Set the long-term pace and preserve the current overall step slowness."""
        self._short_term = max(
            _MIN_SHORT_TERM_RATIO, self._short_term * self.long_term_step_slowness / step_slowness
        )
        self.long_term_step_slowness = step_slowness
        self.long_term_prefill_slowness = prefill_slowness

    def reset_stale(self, now: float) -> None:
        """Reset the long-term pace if there were no samples for a long time."""
        if self._sampled_at is None:
            self._sampled_at = now
        if now - self._sampled_at > _RESET_SECONDS:
            self._sampled_at = now
            self.step_pauses = RecentMedian()
            self.prefill_times = RecentMedian()
            self.set_long_term(1.0, 1.0)

    def adopt_reported(self, step_slowness: float, prefill_slowness: float) -> None:
        """Adopt the pace reported by another gateway until own samples contradict it."""
        if not self.is_known:
            self.is_known = True
            self.set_long_term(step_slowness, prefill_slowness)

    def _update_short_term(self, ratio: float, weight: float, now: float) -> None:
        current = self._decayed_short_term(now)
        bounded = min(
            _MAX_SHORT_TERM_RATIO, max(_MIN_SHORT_TERM_RATIO, ratio / self.long_term_step_slowness)
        )
        self._short_term = current + weight * (bounded - current)
        self._short_term_at = now

    def _decayed_short_term(self, now: float) -> float:
        remaining = max(0.0, 1.0 - max(0.0, now - self._short_term_at) / _SHORT_TERM_SECONDS)
        return 1.0 + (self._short_term - 1.0) * remaining


class ServiceEnginePaces:
    """Paces of a service's engines, compared with their median."""

    def __init__(self) -> None:
        self._paces: dict[str, EnginePace] = {}
        self._updated_at = float("-inf")
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
            LongTermPace(upstream, pace.long_term_step_slowness, pace.long_term_prefill_slowness)
            for upstream, pace in self._paces.items()
            if pace.is_known
        ]

    def deviating_paces(self) -> list[LongTermPace]:
        """Return the paces of the upstreams that are known to differ."""
        return [
            item
            for item in self.known_paces()
            if (item.step_slowness, item.prefill_slowness) != (1.0, 1.0)
        ]

    def adopt_reported(self, reported: LongTermPace, pace: EnginePace) -> None:
        """Adopt the pace reported by another gateway for an engine that is unknown here."""
        self.add(reported.upstream, pace)
        pace.adopt_reported(reported.step_slowness, reported.prefill_slowness)
        self.has_deviating = self.has_deviating or _long_term_pair(pace) != (1.0, 1.0)

    def take_changes(self) -> list[LongTermPace]:
        """Return the long-term paces that changed since the last call."""
        changed, self._changed = self._changed, {}
        return list(changed.values())

    def update_long_term(self, now: float) -> None:
        """Compare each engine with the median of all, at a limited rate."""
        if now < self._updated_at + _UPDATE_INTERVAL_SECONDS:
            return
        self._updated_at = now
        former_pairs = {upstream: _long_term_pair(pace) for upstream, pace in self._paces.items()}
        for pace in self._paces.values():
            pace.reset_stale(now)
        reference_step = _reference_time(
            [pace.step_pauses for pace in self._paces.values()], _MIN_STEP_SLOTS
        )
        reference_prefill = _reference_time(
            [pace.prefill_times for pace in self._paces.values()], _MIN_ANSWER_SLOTS
        )
        new_pairs = {
            upstream: self._long_term_slowness(pace, reference_step, reference_prefill)
            for upstream, pace in self._paces.items()
        }
        self.has_deviating = any(pair != (1.0, 1.0) for pair in new_pairs.values())
        for upstream, (step_slowness, prefill_slowness) in new_pairs.items():
            if (step_slowness, prefill_slowness) != _long_term_pair(self._paces[upstream]):
                self._paces[upstream].set_long_term(step_slowness, prefill_slowness)
            if (step_slowness, prefill_slowness) != former_pairs[upstream]:
                self.change_count += 1
                self._changed[upstream] = LongTermPace(upstream, step_slowness, prefill_slowness)

    def _long_term_slowness(
        self, pace: EnginePace, reference_step: float, reference_prefill: float
    ) -> tuple[float, float]:
        """Return the long-term step slowness of one engine and its additional prefill slowness."""
        step_slowness, prefill_slowness = (
            pace.long_term_step_slowness,
            pace.long_term_prefill_slowness,
        )
        if reference_step and pace.step_pauses.has_slots(_MIN_STEP_SLOTS):
            step_slowness = _updated_ratio(
                step_slowness, pace.step_pauses.median / reference_step, _MIN_STEP_RATIO
            )
        slots = _MIN_ANSWER_SLOTS if pace.is_plain else _MIN_PREFILL_SLOTS
        if reference_prefill and pace.prefill_times.has_slots(slots):
            ratio = pace.prefill_times.median / reference_prefill / step_slowness
            min_ratio = _MIN_ANSWER_RATIO if pace.is_plain else _MIN_PREFILL_RATIO
            prefill_slowness = _updated_ratio(prefill_slowness, ratio, min_ratio)
        return step_slowness, prefill_slowness


def _long_term_pair(pace: EnginePace) -> tuple[float, float]:
    return pace.long_term_step_slowness, pace.long_term_prefill_slowness


def _reference_time(times: list[RecentMedian], slots: int) -> float:
    """Return the median over the engines, 0 if too few have samples."""
    known = [item.median for item in times if item.has_slots(slots)]
    min_known = max(_MIN_ENGINES, len(times) / 2)
    return statistics.median(known) if len(known) >= min_known else 0.0


def _updated_ratio(current: float, measured: float, min_ratio: float) -> float:
    """Return the new long-term value for a current one and a measured one."""
    if abs(math.log(measured / current)) < math.log(_MIN_CHANGE_RATIO):
        return current
    return measured if abs(math.log(measured)) >= math.log(min_ratio) else 1.0
