"""Fault plan of a soak run, drawn from a seed."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum

QUIET_SECONDS = 5.0
"""Time at the end of a run without new faults, in which the fraction of served requests is
measured."""
_MAX_FAULT_SECONDS = 3.0


class Action(Enum):
    """Kind of a step in the plan."""

    KILL_GATEWAY = "kill a gateway"
    STOP_GATEWAY = "shut down a gateway as planned"
    FREEZE_GATEWAY = "freeze a gateway"
    RELOAD_GATEWAY = "reload the settings of a gateway"
    KILL_ALL_GATEWAYS = "kill all gateways"
    TERMINATE_ENGINE = "terminate an engine without an announcement"
    DRAIN_ENGINE = "drain an engine, then end it"
    PUT_MALFORMED_ENTRY = "write a malformed entry, as another writer might"
    CORRUPT_ENTRY = "make the entry of an engine unusable for a while"
    CHANGE_CONFIGURATION = "publish another configuration"
    INJECT_STORE_FAULT = "inject a store fault for a while"
    REJECT_AT_ENGINE = "make an engine reject all requests with a cooldown"
    REJECT_AT_ALL_ENGINES = "make all engines reject all requests with a cooldown"
    LIMIT_ENGINE = "make an engine state a limit for all gateways together"
    LIMIT_ALL_ENGINES = "make all engines state such a limit"
    LIFT_LIMITS = "end the limits of all engines"
    ANNOUNCE_LEAVING = "make an engine announce only in answers that it leaves, then end it"
    LEAVE_WITH_NOTICE = "drain an engine that moves memory, and end it after its notice"
    SLOW_ENGINE = "make an engine generate events slowly for a while"
    STALL_ENGINE = "make an engine generate no events for a moment"
    DISTURB_CALLS = "disturb the calls for moving memory at half of the engines for a while"
    DRAIN_SLOWLY = "drain an engine that continues to serve for a while, then end it"
    SILENCE_CONNECTIONS = "silence all open connections of all gateways"
    DISTURB_CONNECTIONS = "silence or reset open connections, those to the store only or a part"
    DELAY_CONNECTIONS = "delay the bytes on all connections of gateways for a while"
    ROLL_VERSION = "replace some engines by ones of the other version, one after the other"
    BREAK_STREAMS = "make half of the engines break off streams inside an event for a while"
    DISTURB_HANDLES = "disturb first requests with a handle at half of the engines for a while"


_WEIGHTS = {
    Action.KILL_GATEWAY: 3,
    Action.STOP_GATEWAY: 3,
    Action.FREEZE_GATEWAY: 4,
    Action.RELOAD_GATEWAY: 2,
    Action.TERMINATE_ENGINE: 4,
    Action.DRAIN_ENGINE: 3,
    Action.PUT_MALFORMED_ENTRY: 4,
    Action.CORRUPT_ENTRY: 2,
    Action.CHANGE_CONFIGURATION: 3,
    Action.INJECT_STORE_FAULT: 2,
}


_LIMIT_ACTIONS = (
    Action.LIMIT_ENGINE,
    Action.LIMIT_ENGINE,
    Action.LIMIT_ALL_ENGINES,
    Action.LIFT_LIMITS,
)
_LIMIT_RATES = (0.2, 1.0, 4.0, 20.0)
_SIGNALS = (
    Action.REJECT_AT_ENGINE,
    Action.REJECT_AT_ENGINE,
    Action.REJECT_AT_ALL_ENGINES,
    Action.ANNOUNCE_LEAVING,
)
_VERSION_ACTIONS = (
    Action.ROLL_VERSION,
    Action.ROLL_VERSION,
    Action.TERMINATE_ENGINE,
    Action.KILL_GATEWAY,
    Action.STOP_GATEWAY,
    Action.FREEZE_GATEWAY,
    Action.BREAK_STREAMS,
    Action.INJECT_STORE_FAULT,
)
_MOVE_WEIGHTS = {
    Action.LEAVE_WITH_NOTICE: 8,
    Action.SLOW_ENGINE: 8,
    Action.STALL_ENGINE: 6,
    Action.DISTURB_CALLS: 8,
    Action.DISTURB_HANDLES: 6,
    Action.RELOAD_GATEWAY: 4,
    Action.CORRUPT_ENTRY: 2,
    Action.CHANGE_CONFIGURATION: 2,
    Action.REJECT_AT_ENGINE: 2,
    Action.ANNOUNCE_LEAVING: 1,
    Action.TERMINATE_ENGINE: 1,
    Action.STOP_GATEWAY: 1,
    Action.KILL_GATEWAY: 1,
    Action.FREEZE_GATEWAY: 1,
}
_MOVE_FAULT_SECONDS = {
    Action.SLOW_ENGINE: (2.0, 6.0),
    Action.STALL_ENGINE: (0.6, 1.5),
    Action.LEAVE_WITH_NOTICE: (2.2, 4.0),
    Action.REJECT_AT_ENGINE: (0.2, 1.0),
    Action.DISTURB_CALLS: (1.0, 4.0),
    Action.DISTURB_HANDLES: (1.0, 4.0),
}
"""Least and greatest length of faults of engines that move memory. A notice is at least as long as
gateways assume if none is stated, and cooldowns are shorter than clients wait for an event."""


_CHANGES = (Action.CHANGE_CONFIGURATION, Action.CHANGE_CONFIGURATION, Action.DRAIN_SLOWLY)
_DRAIN_SECONDS = 7.0
"""Time for which an engine serves after its entry says that it leaves: until well after a gateway
that was disturbed in that moment has to know it."""
_MAX_CHANGE_DELAY_SECONDS = 3.5
_MIN_SILENCE_INTERVAL_SECONDS = 5.5
_MAX_SILENCE_INTERVAL_SECONDS = 7.0
_SILENCE_WEIGHTS = {
    Action.DISTURB_CONNECTIONS: 3,
    Action.DELAY_CONNECTIONS: 2,
    Action.KILL_GATEWAY: 2,
    Action.STOP_GATEWAY: 2,
    Action.FREEZE_GATEWAY: 2,
    Action.RELOAD_GATEWAY: 2,
    Action.TERMINATE_ENGINE: 2,
    Action.CORRUPT_ENTRY: 2,
    Action.INJECT_STORE_FAULT: 1,
    Action.ANNOUNCE_LEAVING: 1,
}


@dataclass(frozen=True)
class Step:
    """A planned step, at a time in seconds from the start of the run.

    `pick` selects its target among the gateways, engines or variants; `seconds` is its duration.
    """

    at: float
    action: Action
    pick: int
    seconds: float
    rate: float = 0.0
    """Stated limit in requests per second."""


def draw_faults(seed: int, seconds: float) -> list[Step]:
    """Return steps in overlapping series; all gateways are killed once, near the middle."""
    rng = random.Random(seed)
    steps = [Step(seconds * 0.4, Action.KILL_ALL_GATEWAYS, 0, 0.0)]
    at = 2.0
    while at < seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS:
        for _ in range(rng.randint(1, 3)):
            action = rng.choices(list(_WEIGHTS), list(_WEIGHTS.values()))[0]
            length = rng.uniform(0.5, _MAX_FAULT_SECONDS)
            steps.append(Step(at, action, rng.randrange(1_000), length))
            at += rng.uniform(0.0, 0.5)
        at += rng.uniform(0.5, 2.0)
    return sorted(steps, key=lambda step: step.at)


def draw_engine_signals(seed: int, seconds: float) -> list[Step]:
    """Return steps in which engines reject requests or leave, in addition to those of `draw`."""
    rng = random.Random(f"{seed} words")
    steps = []
    at = 2.0
    while at < seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS:
        length = rng.uniform(0.5, _MAX_FAULT_SECONDS)
        steps.append(Step(at, rng.choice(_SIGNALS), rng.randrange(1_000), length))
        at += rng.uniform(0.8, 2.5)
    return steps


def draw_breaks(seed: int, seconds: float) -> list[Step]:
    """Return steps in which engines break off streams, in addition to those of `draw_faults`."""
    rng = random.Random(f"{seed} breaks")
    steps = []
    at = 1.0
    while at < seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS:
        length = rng.uniform(1.0, _MAX_FAULT_SECONDS)
        steps.append(Step(at, Action.BREAK_STREAMS, rng.randrange(1_000), length))
        at += length * rng.uniform(0.5, 1.5)
    return steps


def draw_versions(seed: int, seconds: float) -> list[Step]:
    """Return steps in which versions are rolled, beside crashes of engines and gateways."""
    rng = random.Random(f"{seed} versions")
    steps = []
    at = 2.0
    while at < seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS:
        for action in rng.sample(_VERSION_ACTIONS, rng.randint(1, 3)):
            length = rng.uniform(0.5, _MAX_FAULT_SECONDS)
            steps.append(Step(at, action, rng.randrange(1_000), length))
            at += rng.uniform(0.0, 0.8)
        at += rng.uniform(0.5, 2.0)
    return steps


def draw_moves(seed: int, seconds: float) -> list[Step]:
    """Return steps in overlapping series by which runs are moved and their moves are disturbed."""
    rng = random.Random(f"{seed} moves")
    steps = []
    at = 1.5
    while at < seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS:
        for _ in range(rng.randint(3, 5)):
            action = rng.choices(list(_MOVE_WEIGHTS), list(_MOVE_WEIGHTS.values()))[0]
            length = rng.uniform(*_MOVE_FAULT_SECONDS.get(action, (0.5, _MAX_FAULT_SECONDS)))
            steps.append(Step(at, action, rng.randrange(1_000), length))
            at += rng.uniform(0.0, 0.3)
        at += rng.uniform(0.2, 0.7)
    return steps


def draw_silences(seed: int, seconds: float) -> list[Step]:
    """Return steps in which open connections fall silent, with changes and other faults after.

    Every second silence is followed by changes alone: other faults excuse a gateway for a while.
    """
    rng = random.Random(f"{seed} silences")
    steps = []
    at = rng.uniform(2.0, 3.0)
    others = False
    while at < seconds - QUIET_SECONDS - _MAX_CHANGE_DELAY_SECONDS:
        first = rng.choice((Action.SILENCE_CONNECTIONS, Action.DISTURB_CONNECTIONS))
        steps.append(Step(at, first, rng.randrange(1_000), 0.0))
        for action in _CHANGES:
            delay = rng.uniform(0.0, _MAX_CHANGE_DELAY_SECONDS)
            steps.append(Step(at + delay, action, rng.randrange(1_000), _DRAIN_SECONDS))
        if others:
            action = rng.choices(list(_SILENCE_WEIGHTS), list(_SILENCE_WEIGHTS.values()))[0]
            delay = rng.uniform(0.0, _MAX_CHANGE_DELAY_SECONDS)
            length = rng.uniform(0.5, _MAX_FAULT_SECONDS)
            steps.append(Step(at + delay, action, rng.randrange(1_000), length))
        others = not others
        at += rng.uniform(_MIN_SILENCE_INTERVAL_SECONDS, _MAX_SILENCE_INTERVAL_SECONDS)
    return steps


def draw_limits(seed: int, seconds: float) -> list[Step]:
    """Return steps in which engines state limits; all limits end before the quiet time.

    The last step leaves time for a request after it: gateways learn of the end of a limit with the
    next answer, and the lowest limit permits one request in five seconds.
    """
    rng = random.Random(f"{seed} limits")
    steps = []
    at = 2.0
    last_at = seconds - QUIET_SECONDS - _MAX_FAULT_SECONDS - 1.0 / _LIMIT_RATES[0] / 2
    while at < last_at:
        action, rate = rng.choice(_LIMIT_ACTIONS), rng.choice(_LIMIT_RATES)
        steps.append(Step(at, action, rng.randrange(1_000), 0.0, rate))
        at += rng.uniform(0.8, 4.0)
    return [*steps, Step(last_at, Action.LIFT_LIMITS, 0, 0.0)]
