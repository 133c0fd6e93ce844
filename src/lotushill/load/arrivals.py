"""Draws the requests of one experiment: bursts, teams of unequal size, unknown lengths."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

import numpy as np

from lotushill.load.shapes import PREFILL_PER_STEP
from lotushill.upstreams.prefix_memory import TOKENS_PER_BLOCK

if TYPE_CHECKING:
    from lotushill.load.shapes import ClassShape
    from lotushill.load.shapes import Shape

_BURST_SECONDS = 5.0
_BURST_PERIOD = 20.0
_LONGEST_OUTPUT = 4000


@dataclass(frozen=True)
class Request:
    """One request with the length that nobody knows in advance."""

    name: str
    at: float
    team: str
    klass: ClassShape
    prompt: int
    output: int
    prefix: tuple[int, ...]
    hall: str


def capacity(shape: Shape) -> float:
    """Return the engine time that is there each second, in slot-seconds."""
    return float(sum(engine.slots for engine in shape.engines))


def mean_slot_seconds(klass: ClassShape, shape: Shape) -> float:
    """Return the slot-seconds that one request of a class takes on an average engine."""
    rate = sum(engine.slots / engine.step for engine in shape.engines) / capacity(shape)
    mean_output = klass.output * math.exp(klass.spread**2 / 2)
    prefill_steps = (klass.prompt - klass.shared_prompt) / PREFILL_PER_STEP
    return (mean_output + prefill_steps) / rate


def draw(shape: Shape, overload: float, seconds: float, seed: int) -> list[Request]:
    """Return the requests of an experiment in order of arrival."""
    rng = np.random.default_rng(seed)
    requests: list[Request] = []
    for klass in shape.classes:
        rate = overload * klass.share * capacity(shape) / mean_slot_seconds(klass, shape)
        for at in _times(rng, rate, shape.burst_factor, seconds):
            requests.append(_request(rng, shape, klass, at, len(requests)))
    return sorted(requests, key=lambda request: request.at)


def _times(rng: np.random.Generator, rate: float, burst: float, seconds: float) -> list[float]:
    """Return arrival times of a process whose rate is higher in bursts, `rate` on average."""
    share = _BURST_SECONDS / _BURST_PERIOD
    quiet = rate / (1 - share + share * burst)
    highest = quiet * burst
    times: list[float] = []
    at = 0.0
    while True:
        at += float(rng.exponential(1.0 / highest))
        if at >= seconds:
            return times
        in_burst = at % _BURST_PERIOD < _BURST_SECONDS
        if in_burst or rng.random() < quiet / highest:
            times.append(at)


def _request(
    rng: np.random.Generator, shape: Shape, klass: ClassShape, at: float, index: int
) -> Request:
    team = int(rng.choice(len(shape.team_shares), p=shape.team_shares))
    output = int(np.clip(rng.lognormal(math.log(klass.output), klass.spread), 1, _LONGEST_OUTPUT))
    extra = int(rng.exponential(klass.prompt - klass.shared_prompt)) + 1
    blocks = klass.shared_prompt // TOKENS_PER_BLOCK
    prefix = tuple(hash((team, klass.name, block)) & (2**63 - 1) for block in range(blocks))
    halls = shape.halls()
    return Request(
        name=f"{klass.name}-{index}",
        at=at,
        team=f"team-{team}",
        klass=klass,
        prompt=klass.shared_prompt + extra,
        output=output,
        prefix=prefix,
        hall=halls[int(rng.integers(len(halls)))],
    )
