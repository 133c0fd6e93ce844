"""The requests of a replay: when they come, and what they ask for."""

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

_PROMPT_CAP = 8.0
"""Times the mean, the longest prompt."""
_GUESS_SPREAD = 0.5
"""Of the logarithm: the length of an answer is guessed right in the median, and often far off."""
_FLAT, _BY_SIZE = 0.3, 0.7
"""A request is worth this, and this times its size beside the mean of its class."""
_OUTPUT_WORTH = 10.0
_MOST_TIMES_WORTH = 4.0
_PARTS = 1000
"""Into so many parts clients are divided by their number, to draw those that are impatient."""


class Arrivals:
    """Draws each class by itself, so that all variants of decisions meet the same requests."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._rngs = {item.name: random.Random(f"{seed}/{item.name}") for item in scenario.classes}
        self._teams = Teams(scenario, seed)

    def next_after(self, kind: RequestClass, now: float) -> float:
        """Return when the next request of a class comes."""
        rate = self._scenario.rate(kind, now) * self._teams.times(kind, now)
        return now + self._rngs[kind.name].expovariate(rate)

    def draw(self, kind: RequestClass, now: float) -> Client:
        """Return a request of a class that comes now."""
        rng = self._rngs[kind.name]
        own = int(_lognormal(rng, kind.prompt, kind.prompt_spread))
        output = max(1, int(_lognormal(rng, kind.output, kind.output_spread)))
        subject = rng.randrange(kind.subjects)
        base = xxhash.xxh32_intdigest(f"{kind.name}/{subject}")
        parts = [PromptPart(base, int(kind.shared))] if kind.shared else []
        parts.append(PromptPart(rng.getrandbits(60), max(1, own)))
        team = self._teams.draw(kind, now)
        need = Need(
            service="llm",
            route=kind.name,
            target=kind.target,
            target_gap=kind.gap,
            time_left=kind.deadline,
            stream=True,
            prompt_tokens=sum(part.tokens for part in parts),
            output_tokens=max(1, int(output * rng.lognormvariate(0.0, _GUESS_SPREAD))),
            parts=tuple(parts),
            tier=kind.tier,
            caller=parts[-1].id + 1,
            team=team.name if team else "",
            share=team.share if team else 1.0,
        )
        worth = _worth(kind, need.prompt_tokens, output)
        scheduler = self._draw_scheduler(rng)
        impatient = need.caller % _PARTS < _PARTS * kind.impatient
        return Client(
            kind, need, output, now, worth, scheduler, impatient=impatient, waited_since=now
        )

    def _draw_scheduler(self, rng: random.Random) -> int:
        """Return where a request comes in; scheduler n stands in hall n, modulo the halls."""
        scenario = self._scenario
        if not scenario.hall_demand:
            return rng.randrange(scenario.schedulers)
        weights = [
            scenario.hall_demand[number % scenario.halls] for number in range(scenario.schedulers)
        ]
        return rng.choices(range(scenario.schedulers), weights)[0]


def _worth(kind: RequestClass, prompt: int, output: int) -> float:
    mean = kind.prompt + kind.shared + _OUTPUT_WORTH * kind.output
    size = (prompt + _OUTPUT_WORTH * output) / mean
    return min(_MOST_TIMES_WORTH, _FLAT + _BY_SIZE * size)


def _lognormal(rng: random.Random, mean: float, spread: float) -> float:
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return min(_PROMPT_CAP * mean, drawn)
