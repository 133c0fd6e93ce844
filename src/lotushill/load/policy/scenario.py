"""The load of a replay: request classes, their bursts, and faults of engines and schedulers."""

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
    """One class of requests; times are in seconds, lengths in tokens."""

    name: str
    tier: int
    rate: float
    """Requests per second outside of bursts."""
    target: float
    gap: float
    deadline: float
    prompt: float
    shared: float
    """Length of the prompt prefix that all requests about one subject share."""
    subjects: int
    output: float
    worth: float
    late_worth: float
    prompt_spread: float = 1.0
    """Standard deviation of the logarithm of the prompt length."""
    output_spread: float = 0.5
    impatient: float = 0.0
    """Fraction of the clients that return at once, up to three times, ignoring retry times."""


@dataclass(frozen=True)
class Burst:
    """A period in which one class, or all, arrives at a multiple of its rate."""

    at: float
    seconds: float
    times: float
    name: str = ""
    """Name of the class, empty for all classes."""


@dataclass(frozen=True)
class Loss:
    """A period in which a fraction of the engines is lost."""

    at: float
    seconds: float
    share: float
    hall: int | None = None
    """Hall to which the lost engines belong, None for engines of any hall."""
    notice: float = 0.0
    """Time before the loss during which no new requests are sent to the engines; 0 for a crash."""


@dataclass(frozen=True)
class PowerLoss:
    """The permanent loss of one scheduler, with all running requests of its clients."""

    at: float
    scheduler: int


@dataclass(frozen=True)
class Shed:
    """A period in which a fraction of the engines refuses all requests and asks for a cooldown."""

    at: float
    seconds: float
    share: float
    rest: float
    """Cooldown in seconds that each refusal asks for."""


@dataclass(frozen=True)
class Limit:
    """A period in which a fraction of the engines states a limit."""

    at: float
    seconds: float
    share: float
    rate: float
    """Requests per second that each engine accepts from all schedulers together."""


@dataclass(frozen=True)
class Team:
    """One or more teams with the same demand."""

    name: str
    """Name of the team; if there are several, a number is appended to it."""
    count: int = 1
    part: float = 1.0
    """Weight of each team's demand relative to the other teams."""
    share: float = 1.0


@dataclass(frozen=True)
class TeamBurst:
    """A period in which one team sends a multiple of its usual requests."""

    team: str
    at: float
    seconds: float
    times: float
    name: str = ""
    """Name of the class, empty for all classes."""


@dataclass(frozen=True)
class Disturbances:
    """Periodic slowdowns of a fraction of the engines, drawn anew each time; times in seconds."""

    every: float
    seconds: float
    share: float
    times: float


@dataclass(frozen=True)
class Wave:
    """A sinusoidal variation of all demand around its rate."""

    swing: float
    """Amplitude as a fraction of the rate."""
    period: float
    """Period in seconds."""


@dataclass(frozen=True)
class Scenario:
    """One load, with the fleet that receives it."""

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
    """Teams that send the requests; if empty, requests name no team."""
    team_bursts: tuple[TeamBurst, ...] = ()
    unheard: float = 0.0
    """Time from the start during which schedulers receive nothing from each other, in seconds."""
    drawn: bool = True
    """Whether schedulers draw upstreams at random during that time.

    If not, they choose by the requests that they run themselves.
    """
    old_work: float = 0.0
    """Fraction of the slots occupied at the start by requests unknown to all schedulers."""
    power_losses: tuple[PowerLoss, ...] = ()
    figures: EngineFigures = field(default_factory=EngineFigures)
    paces: tuple[float, ...] = (1.0, 1.0, 1.0 / 1.3)
    """Speeds of the engines relative to the usual one, repeated over the engines."""
    disturbances: Disturbances | None = None
    wave: Wave | None = None
    pauses_learned: bool = False
    """Whether schedulers learn from pauses of their own streams, as gateways do in production."""
    hall_demand: tuple[float, ...] = ()
    """Weights of the halls that receive requests; empty if all schedulers are in one hall."""
    variants: dict[str, dict[str, float]] = field(default_factory=dict)
    """Constants of the policy to compare: `module.CONSTANT` and its value, by variant."""

    def rate(self, item: RequestClass, now: float) -> float:
        """Return the rate of a class at a given time, in requests per second."""
        times = 1.0
        if self.wave is not None:
            times += self.wave.swing * math.sin(2.0 * math.pi * now / self.wave.period)
        for burst in self.bursts:
            if burst.name in ("", item.name) and burst.at <= now < burst.at + burst.seconds:
                times *= burst.times
        return item.rate * times


def parse_scenario(value: Any) -> Scenario:
    """Return a scenario from plain data; raise TypeError or KeyError if the data is invalid."""
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
        disturbances=_parse_optional(Disturbances, value.get("disturbances")),
        wave=_parse_optional(Wave, value.get("wave")),
        pauses_learned=bool(value.get("pauses_learned", False)),
        hall_demand=tuple(value.get("hall_demand", ())),
        variants={name: dict(figures) for name, figures in value.get("variants", {}).items()},
    )


def _parse_optional(kind: Callable[..., _Kind], value: Any) -> _Kind | None:
    return None if value is None else kind(**value)
