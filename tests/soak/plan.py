"""Fault plan of a soak run, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

QUIET_SECONDS = 5.0
"""Time at the end of a run without new faults, in which the fraction of served requests is
measured."""
_LONGEST_FAULT = 3.0


class Deed(Enum):
    """Kind of a step in the plan."""

    KILL_GATEWAY = "kill a gateway"
    STOP_GATEWAY = "shut down a gateway as planned"
    FREEZE_GATEWAY = "freeze a gateway"
    RELOAD_GATEWAY = "reload the settings of a gateway"
    KILL_ALL_GATEWAYS = "kill all gateways"
    END_ENGINE = "crash an engine"
    DRAIN_ENGINE = "drain an engine, then end it"
    PUT_ODD_ENTRY = "write a malformed entry, as another writer might"
    SPOIL_ENTRY = "make the entry of an engine unusable for a while"
    CHANGE_CONFIGURATION = "publish another configuration"
    TROUBLE_STORE = "inject a store fault for a while"
    SHED_ENGINE = "make an engine reject all requests with a cooldown"
    SHED_ALL_ENGINES = "make all engines reject all requests with a cooldown"
    LIMIT_ENGINE = "make an engine state a limit for all gateways together"
    LIMIT_ALL_ENGINES = "make all engines state such a limit"
    LIFT_LIMITS = "end the limits of all engines"
    LEAVE_BY_WORD = "make an engine announce only in answers that it leaves, then end it"


_WEIGHTS = {
    Deed.KILL_GATEWAY: 3,
    Deed.STOP_GATEWAY: 3,
    Deed.FREEZE_GATEWAY: 4,
    Deed.RELOAD_GATEWAY: 2,
    Deed.END_ENGINE: 4,
    Deed.DRAIN_ENGINE: 3,
    Deed.PUT_ODD_ENTRY: 4,
    Deed.SPOIL_ENTRY: 2,
    Deed.CHANGE_CONFIGURATION: 3,
    Deed.TROUBLE_STORE: 2,
}


_LIMITS = (Deed.LIMIT_ENGINE, Deed.LIMIT_ENGINE, Deed.LIMIT_ALL_ENGINES, Deed.LIFT_LIMITS)
_RATES = (0.2, 1.0, 4.0, 20.0)
_WORDS = (Deed.SHED_ENGINE, Deed.SHED_ENGINE, Deed.SHED_ALL_ENGINES, Deed.LEAVE_BY_WORD)


@dataclass(frozen=True)
class Step:
    """A planned step, at a time in seconds from the start of the run.

    `pick` selects its target among the gateways, engines or variants; `seconds` is its duration.
    """

    at: float
    deed: Deed
    pick: int
    seconds: float
    rate: float = 0.0
    """Stated limit in requests per second."""


def draw(seed: int, seconds: float) -> list[Step]:
    """Return steps in overlapping series; all gateways are killed once, near the middle."""
    rng = random.Random(seed)
    steps = [Step(seconds * 0.4, Deed.KILL_ALL_GATEWAYS, 0, 0.0)]
    at = 2.0
    while at < seconds - QUIET_SECONDS - _LONGEST_FAULT:
        for _ in range(rng.randint(1, 3)):
            deed = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
            length = rng.uniform(0.5, _LONGEST_FAULT)
            steps.append(Step(at, deed, rng.randrange(1_000), length))
            at += rng.uniform(0.0, 0.5)
        at += rng.uniform(0.5, 2.0)
    return sorted(steps, key=lambda step: step.at)


def draw_words(seed: int, seconds: float) -> list[Step]:
    """Return steps in which engines reject requests or leave, in addition to those of `draw`."""
    rng = random.Random(f"{seed} words")
    steps = []
    at = 2.0
    while at < seconds - QUIET_SECONDS - _LONGEST_FAULT:
        length = rng.uniform(0.5, _LONGEST_FAULT)
        steps.append(Step(at, rng.choice(_WORDS), rng.randrange(1_000), length))
        at += rng.uniform(0.8, 2.5)
    return steps


def draw_limits(seed: int, seconds: float) -> list[Step]:
    """Return steps in which engines state limits; all limits end before the quiet time.

    The last step leaves time for a request after it: gateways learn of the end of a limit with the
    next answer, and the lowest limit permits one request in five seconds.
    """
    rng = random.Random(f"{seed} limits")
    steps = []
    at = 2.0
    last = seconds - QUIET_SECONDS - _LONGEST_FAULT - 1.0 / _RATES[0] / 2
    while at < last:
        deed, rate = rng.choice(_LIMITS), rng.choice(_RATES)
        steps.append(Step(at, deed, rng.randrange(1_000), 0.0, rate))
        at += rng.uniform(0.8, 4.0)
    return [*steps, Step(last, Deed.LIFT_LIMITS, 0, 0.0)]
