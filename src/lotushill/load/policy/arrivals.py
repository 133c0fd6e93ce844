"""Generates the requests of a replay: their arrival times, prompts and answer lengths."""

from __future__ import annotations

import math
import random
from typing import TYPE_CHECKING

import xxhash

from lotushill.load.policy.client import Client
from lotushill.load.policy.teams import Teams
from lotushill.placement.need import Need
from lotushill.routing.demand import PromptPart

if TYPE_CHECKING:
    from lotushill.load.policy.scenario import RequestClass
    from lotushill.load.policy.scenario import Scenario

_MAX_LENGTH_FACTOR = 8.0
"""Maximum length of a prompt or an answer, as a multiple of the mean of its class."""
_OUTPUT_ESTIMATE_SPREAD = 0.5
"""Standard deviation of the logarithm of the error in the expected answer length.

The expected length is right in the median, and often far off.
"""
_FIXED_WORTH, _SIZE_WORTH = 0.3, 0.7
"""Fixed part of a request's credit, and the part proportional to its size.

The size is relative to the mean of the request's class.
"""
_OUTPUT_TOKEN_WEIGHT = 10.0
_MAX_WORTH = 4.0
_CLIENT_GROUPS = 1000
"""Number of groups into which clients are divided by their number to select the impatient ones."""


class Arrivals:
    """Draws each class from a separate generator, so all variants receive the same requests."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rngs = {item.name: random.Random(f"{seed}/{item.name}") for item in scenario.classes}
        self._teams = Teams(scenario, seed)

    def next_after(self, kind: RequestClass, now: float) -> float:
        """Return the arrival time of the next request of a class."""
        rate = self._scenario.rate(kind, now) * self._teams.rate_factor(kind, now)
        return now + self._rngs[kind.name].expovariate(rate)

    def draw(self, kind: RequestClass, now: float) -> Client:
        """Return a new request of a class that arrives now."""
        rng = self._rngs[kind.name]
        own_tokens = int(_lognormal(rng, kind.prompt, kind.prompt_spread))
        output = max(1, int(_lognormal(rng, kind.output, kind.output_spread)))
        subject = rng.randrange(kind.subjects)
        prefix_id = xxhash.xxh32_intdigest(f"{kind.name}/{subject}")
        parts = [PromptPart(prefix_id, int(kind.shared))] if kind.shared else []
        parts.append(PromptPart(rng.getrandbits(60), max(1, own_tokens)))
        team = self._teams.draw(kind, now)
        need = Need(
            service="llm",
            route=kind.name,
            target=kind.target,
            target_gap=kind.gap,
            time_left=kind.deadline,
            stream=True,
            prompt_tokens=sum(part.tokens for part in parts),
            output_tokens=max(1, int(output * rng.lognormvariate(0.0, _OUTPUT_ESTIMATE_SPREAD))),
            parts=tuple(parts),
            tier=kind.tier,
            caller=parts[-1].id + 1,
            team=team.name if team else "",
            share=team.share if team else 1.0,
        )
        worth = _worth(kind, need.prompt_tokens, output)
        scheduler = self._draw_scheduler(rng)
        impatient = need.caller % _CLIENT_GROUPS < _CLIENT_GROUPS * kind.impatient
        return Client(
            kind, need, output, now, worth, scheduler, impatient=impatient, waited_since=now
        )

    def _draw_scheduler(self, rng: random.Random) -> int:
        """Return the scheduler that receives a request.

        Scheduler n is in hall n, modulo the number of halls.
        """
        scenario = self._scenario
        if not scenario.hall_demand:
            return rng.randrange(scenario.schedulers)
        weights = [
            scenario.hall_demand[number % scenario.halls] for number in range(scenario.schedulers)
        ]
        return rng.choices(range(scenario.schedulers), weights)[0]


def _worth(kind: RequestClass, prompt: int, output: int) -> float:
    mean = kind.prompt + kind.shared + _OUTPUT_TOKEN_WEIGHT * kind.output
    size = (prompt + _OUTPUT_TOKEN_WEIGHT * output) / mean
    return min(_MAX_WORTH, _FIXED_WORTH + _SIZE_WORTH * size)


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return min(_MAX_LENGTH_FACTOR * mean, drawn)
