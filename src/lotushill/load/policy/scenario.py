"""A load to replay: classes of requests, their bursts, and what happens to engines."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeVar

from lotushill.load.policy.engine import EngineFigures

if TYPE_CHECKING:
    from collections.abc import Callable

_Kind = TypeVar("_Kind")


@dataclass(frozen=True)
class RequestClass:
    """One kind of request; times are seconds, lengths tokens."""

    name: str
    tier: int
    rate: float
    """Requests a second in calm times."""
    target: float
    gap: float
    deadline: float
    prompt: float
    shared: float
    """Of a prompt, the part that all requests about one subject share."""
    subjects: int
    output: float
    worth: float
    late_worth: float
    prompt_spread: float = 1.0
    """Of the logarithm."""
    output_spread: float = 0.5
    impatient: float = 0.0
    """Share of its clients that come back at once, up to three times, whatever they are told."""


@dataclass(frozen=True)
class Burst:
    """One class, or all, comes at a multiple of its rate for a while."""

    at: float
    seconds: float
    times: float
    name: str = ""
    """Empty for all classes."""


@dataclass(frozen=True)
class Loss:
    """A share of the engines is away for a while."""

    at: float
    seconds: float
    share: float
    hall: int | None = None
    """All of one hall, where given."""
    notice: float = 0.0
    """How long before it nothing new is sent there; 0 for a crash."""


@dataclass(frozen=True)
class PowerLoss:
    """One scheduler is gone for good, with all that its own clients had under way."""

    at: float
    scheduler: int


@dataclass(frozen=True)
class Shed:
    """A share of the engines turns all requests away for a while, and asks for rest."""

    at: float
    seconds: float
    share: float
    rest: float
    """Seconds that each refusal asks for."""


@dataclass(frozen=True)
class Limit:
    """A share of the engines names a limit for a while."""

    at: float
    seconds: float
    share: float
    rate: float
    """Requests a second that each of them takes from all schedulers together."""


@dataclass(frozen=True)
class Team:
    """Some teams that ask alike."""

    name: str
    """Of one team; several have a number after it."""
    count: int = 1
    part: float = 1.0
    """Of all requests, beside the other teams."""
    share: float = 1.0


@dataclass(frozen=True)
class TeamBurst:
    """One team asks many times its usual for a while."""

    team: str
    at: float
    seconds: float
    times: float
    name: str = ""
    """Of one class, empty for all."""


@dataclass(frozen=True)
class Disturbances:
    """Every so often a share of the engines, drawn anew, is slower for a while, in seconds."""

    every: float
    seconds: float
    share: float
    times: float


@dataclass(frozen=True)
class Wave:
    """All demand swings around its rate."""

    swing: float
    """Of the rate, to either side."""
    period: float
    """Seconds."""


@dataclass(frozen=True)
class Scenario:
    """One load."""

    name: str
    seconds: float
    engines: int
    halls: int
    schedulers: int
    classes: tuple[RequestClass, ...]
    bursts: tuple[Burst, ...] = ()
    losses: tuple[Loss, ...] = ()
    sheds: tuple[Shed, ...] = ()
    limits: tuple[Limit, ...] = ()
    teams: tuple[Team, ...] = ()
    """None: requests name no team."""
    team_bursts: tuple[TeamBurst, ...] = ()
    unheard: float = 0.0
    """Seconds from the start in which schedulers hear nothing of one another."""
    drawn: bool = True
    """Whether they draw upstreams meanwhile, in place of choosing by what they run themselves."""
    old_work: float = 0.0
    """Share of the slots that hold requests at the start which no scheduler knows."""
    power_losses: tuple[PowerLoss, ...] = ()
    figures: EngineFigures = field(default_factory=EngineFigures)
    paces: tuple[float, ...] = (1.0, 1.0, 1.0 / 1.3)
    """Times as fast as usual, repeated over the engines."""
    disturbances: Disturbances | None = None
    wave: Wave | None = None
    pauses_learned: bool = False
    """Whether schedulers learn from the pauses of their own streams, as gateways do."""
    hall_demand: tuple[float, ...] = ()
    """Weights of the halls where requests come in; empty where schedulers stand in one hall."""
    variants: dict[str, dict[str, float]] = field(default_factory=dict)
    """Figures of decisions to compare: `module.CONSTANT` and its value, by variant."""

    def rate(self, item: RequestClass, now: float) -> float:
        """Return the requests a second of a class at some moment."""
        times = 1.0
        if self.wave is not None:
            times += self.wave.swing * math.sin(2.0 * math.pi * now / self.wave.period)
        for burst in self.bursts:
            if burst.name in ("", item.name) and burst.at <= now < burst.at + burst.seconds:
                times *= burst.times
        return item.rate * times


def parse_scenario(value: Any) -> Scenario:
    """Return a scenario from plain data; raise TypeError or KeyError for what does not fit."""
    return Scenario(
        name=str(value["name"]),
        seconds=float(value["seconds"]),
        engines=int(value["engines"]),
        halls=int(value["halls"]),
        schedulers=int(value.get("schedulers", 1)),
        classes=tuple(RequestClass(**item) for item in value["classes"]),
        bursts=tuple(Burst(**item) for item in value.get("bursts", ())),
        losses=tuple(Loss(**item) for item in value.get("losses", ())),
        sheds=tuple(Shed(**item) for item in value.get("sheds", ())),
        limits=tuple(Limit(**item) for item in value.get("limits", ())),
        teams=tuple(Team(**item) for item in value.get("teams", ())),
        team_bursts=tuple(TeamBurst(**item) for item in value.get("team_bursts", ())),
        unheard=float(value.get("unheard", 0.0)),
        drawn=bool(value.get("drawn", True)),
        old_work=float(value.get("old_work", 0.0)),
        power_losses=tuple(PowerLoss(**item) for item in value.get("power_losses", ())),
        figures=EngineFigures(**value.get("figures", {})),
        paces=tuple(value.get("paces", Scenario.paces)),
        disturbances=_one(Disturbances, value.get("disturbances")),
        wave=_one(Wave, value.get("wave")),
        pauses_learned=bool(value.get("pauses_learned", False)),
        hall_demand=tuple(value.get("hall_demand", ())),
        variants={name: dict(figures) for name, figures in value.get("variants", {}).items()},
    )


def _one(kind: Callable[..., _Kind], value: Any) -> _Kind | None:
    return None if value is None else kind(**value)
