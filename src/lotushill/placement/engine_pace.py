"""How fast each engine of a service works beside its like: for its life, and for the moment. Pure.

Answers loads where some engines are twice as slow as others all their life, and any of them is
slower still for some hundred milliseconds at times. What lasts is a median over seconds, so that a
disturbance, which is over before it fills half of them, leaves it as it is. It is learned from
seconds and not from what was usual when they passed, and held against the median engine and not the
median request: the usual pace stays where it is while slow engines are sent less. What is short is
a moving average beside what lasts, and fades to it.
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
"""One time counts in each: a disturbance of some hundred ms fills three at most."""
_MOST_SLOTS = 15
_LEAST_STEPS = 3
"""Slots. A stream tells one of its shorter pauses of many: one in a disturbance is rare."""
_LEAST_READINGS = 15
"""Slots. Much that a gateway does not see lengthens the time to a first event."""
_LEAST_ANSWERS = 7
"""Slots of a plain service; three of them that were disturbed leave the median as it is."""
_LEAST_ENGINES = 3
"""With fewer there is no telling which of them is usual."""
_LEAST_DIFFERENCE = 1.4
"""Pauses of engines that are alike spread by less."""
_LEAST_ANSWER_DIFFERENCE = 1.6
"""Plain answers wait for one another, and spread more."""
_LEAST_READING_DIFFERENCE = 3.0
"""Beside what the steps say: readings overlap, so that their times spread most."""
_CHANGE = 1.15
"""A lasting pace stays as it is until it seems to have changed by so many times."""
_SETTLE_SECONDS = 0.25
_KEPT_SECONDS = 120.0
"""A lasting pace of which nothing is seen for so long is forgotten: who is avoided for it is tried
again, since it may have been mended."""
_MOST_RATIO = 20.0
_STEP_WEIGHT = 0.03
"""Of one pause: some 30 of them count, which a stream or two bring in a second."""
_STREAM_STEP_WEIGHT = 0.2
"""Of a typical pause of one stream: as much as some seven single pauses."""
_LEAST_SHORT = 0.5
_FORGET_SECONDS = 20.0
"""An upstream that slowed down for a while is tried again; one that is slow by itself shows it."""


class RecentMedian:
    """The median of times over some seconds."""

    def __init__(self) -> None:
        self._slots: deque[float] = deque(maxlen=_MOST_SLOTS)
        self._slot_ends = float("-inf")
        self.median = 0.0

    def has_slots(self, slots: int) -> bool:
        """Return whether something was noted in so many slots of time."""
        return len(self._slots) >= slots

    def note(self, seconds: float, now: float) -> None:
        """Note one time above 0; the first in each slot of time counts."""
        if now < self._slot_ends:
            return
        self._slot_ends = now + _SLOT_SECONDS
        self._slots.append(seconds)
        self.median = statistics.median(self._slots)


@dataclass(frozen=True)
class LongTermPace:
    """How many times slower than its like an engine works for its life."""

    upstream: str
    step_slowness: float
    read_slowness: float


class EnginePace:
    """The pace of one engine."""

    def __init__(self) -> None:
        self.steps = RecentMedian()
        self.readings = RecentMedian()
        self.long_term_step_slowness = 1.0
        """Times slower than its like; 1 until it is known to differ."""
        self.long_term_read_slowness = 1.0
        """The same of reading, beside what its steps say."""
        self.is_known = False
        """Whether anything is known of it."""
        self.is_plain = False
        """Whether it gives plain answers, of which each counts as a reading."""
        self._seen_at: float | None = None
        """When something that lasts was noted; None where only another gateway told of it."""
        self._short = 1.0
        self._short_at = 0.0

    def step_slowness(self, now: float) -> float:
        """Return how many times slower than its like it steps."""
        if self._short == 1.0:
            return self.long_term_step_slowness
        return self.long_term_step_slowness * self._short_part(now)

    def read_slowness(self, now: float) -> float:
        """Return how many times slower than its like it reads prompts."""
        return self.step_slowness(now) * self.long_term_read_slowness

    def note_pause_ratio(self, ratio: float, now: float) -> None:
        """Learn of the moment from a pause between events against what is usual."""
        self._note(ratio, _STEP_WEIGHT, now)

    def note_stream_ratio(self, ratio: float, now: float) -> None:
        """Learn of the moment from a typical pause of one stream against what is usual."""
        self._note(ratio, _STREAM_STEP_WEIGHT, now)

    def note_pause(self, seconds: float, now: float) -> None:
        """Learn what lasts from a typical pause of one stream beside which little was read."""
        self.is_known = True
        self._seen_at = now
        self.steps.note(seconds, now)

    def note_prefill_time(self, seconds: float, now: float) -> None:
        """Learn what lasts from the seconds that reading a token took."""
        self.is_known = True
        self._seen_at = now
        self.readings.note(seconds, now)

    def note_answer(self, seconds: float, now: float) -> None:
        """Learn what lasts from the seconds that a plain answer took."""
        self.is_plain = True
        self.note_prefill_time(seconds, now)

    def set_long_term(self, steps: float, reading: float) -> None:
        """Take what lasts; what is known of the moment stays as it is."""
        self._short = max(_LEAST_SHORT, self._short * self.long_term_step_slowness / steps)
        self.long_term_step_slowness = steps
        self.long_term_read_slowness = reading

    def reset_stale(self, now: float) -> None:
        """Forget what lasts where nothing was seen of it for long."""
        if self._seen_at is None:
            self._seen_at = now
        if now - self._seen_at > _KEPT_SECONDS:
            self._seen_at = now
            self.steps = RecentMedian()
            self.readings = RecentMedian()
            self.set_long_term(1.0, 1.0)

    def adopt_reported(self, steps: float, reading: float) -> None:
        """Take what another gateway has found, until own evidence says something else."""
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
    """The paces of a service's engines, held against their median."""

    def __init__(self) -> None:
        self._paces: dict[str, EnginePace] = {}
        self._settled_at = float("-inf")
        self.has_deviating = False
        """Whether some engine is known to differ for good."""
        self.change_count = 0
        """Lasting paces that were settled or changed so far."""
        self._changed: dict[str, LongTermPace] = {}

    def add(self, upstream: str, pace: EnginePace) -> None:
        """Count an engine in."""
        self._paces[upstream] = pace

    def retain(self, upstreams: Collection[str]) -> None:
        """Count out all engines but some."""
        for upstream in self._paces.keys() - set(upstreams):
            del self._paces[upstream]

    def known_paces(self) -> list[LongTermPace]:
        """Return the upstreams of which something is known."""
        return [
            LongTermPace(upstream, pace.long_term_step_slowness, pace.long_term_read_slowness)
            for upstream, pace in self._paces.items()
            if pace.is_known
        ]

    def deviating_paces(self) -> list[LongTermPace]:
        """Return the upstreams that are known to differ."""
        return [
            item
            for item in self.known_paces()
            if (item.step_slowness, item.read_slowness) != (1.0, 1.0)
        ]

    def adopt_reported(self, told: LongTermPace, pace: EnginePace) -> None:
        """Take what another gateway has found of an engine of which nothing is known here."""
        self.add(told.upstream, pace)
        pace.adopt_reported(told.step_slowness, told.read_slowness)
        self.has_deviating = self.has_deviating or _pair(pace) != (1.0, 1.0)

    def take_changes(self) -> list[LongTermPace]:
        """Return the lasting paces that changed since this was asked before."""
        changed, self._changed = self._changed, {}
        return list(changed.values())

    def update_long_term(self, now: float) -> None:
        """Hold each engine against the median of all, now and then."""
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
        """Return what lasts of the steps and, beside them, of the readings of one engine."""
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
    """Return the median over the engines, 0 where too few are known to tell which are usual."""
    known = [item.median for item in times if item.has_slots(slots)]
    enough = max(_LEAST_ENGINES, len(times) / 2)
    return statistics.median(known) if len(known) >= enough else 0.0


def _follow(standing: float, seen: float, least: float) -> float:
    """Return what lasts, after it stood at one value and another one was seen."""
    if abs(math.log(seen / standing)) < math.log(_CHANGE):
        return standing
    return seen if abs(math.log(seen)) >= math.log(least) else 1.0
