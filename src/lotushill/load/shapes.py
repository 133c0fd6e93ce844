"""The two users' workloads, as experiments draw them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineShape:
    """One engine: where it stands, its slots and the seconds of one step."""

    name: str
    hall: str
    slots: int
    step: float


@dataclass(frozen=True)
class ClassShape:
    """One class of requests; lengths are medians of log-normal draws, in tokens."""

    name: str
    tier: int
    share: float
    """Share of all offered work, in engine time."""
    prompt: int
    shared_prompt: int
    """Leading prompt tokens that all requests of a team and class have in common."""
    output: int
    spread: float
    """Standard deviation of the logarithm of the output length."""
    target: float
    """Seconds to the first token, 0 for none."""
    deadline: float
    refuse_early: bool


@dataclass(frozen=True)
class Shape:
    """One user: engines, classes and teams."""

    name: str
    engines: tuple[EngineShape, ...]
    classes: tuple[ClassShape, ...]
    team_shares: tuple[float, ...]
    """Share of each team in the requests; a few teams are large."""
    burst_factor: float
    """Arrivals in a burst over those outside."""

    def halls(self) -> tuple[str, ...]:
        """Return the halls that have engines."""
        return tuple(sorted({engine.hall for engine in self.engines}))


_TEAMS = (0.3, 0.2, 0.1, 0.1, 0.05, 0.05, 0.05, 0.05, 0.05, 0.05)
_SPEEDS = (0.8, 1.0, 1.25, 1.0, 1.6, 0.8, 1.0, 1.25, 1.0)
"""Engines are not equally fast."""


def _engines(
    halls: tuple[str, ...], count: int, slots: int, step: float
) -> tuple[EngineShape, ...]:
    return tuple(
        EngineShape(f"engine-{index}", halls[index % len(halls)], slots, step * _SPEEDS[index])
        for index in range(count)
    )


CROATIA = Shape(
    name="croatia",
    engines=_engines(("os-vukovarska", "vz-centar", "zg-dubrava", "zg-jankomir"), 9, 16, 0.010),
    classes=(
        ClassShape("receipt", 0, 0.12, 300, 192, 40, 0.5, 0.5, 10.0, True),
        ClassShape("settlement", 1, 0.38, 800, 512, 120, 0.6, 2.0, 20.0, True),
        ClassShape("dispute", 2, 0.5, 2000, 640, 400, 0.7, 0.0, 60.0, False),
    ),
    team_shares=_TEAMS,
    burst_factor=3.0,
)

JALISCO = Shape(
    name="jalisco",
    engines=_engines(("hall-centro", "hall-tlaque", "hall-zapopan"), 5, 16, 0.014),
    classes=(
        ClassShape("counter", 0, 0.12, 200, 128, 60, 0.5, 0.5, 10.0, True),
        ClassShape("rsvp", 1, 0.3, 500, 384, 80, 0.6, 2.0, 20.0, True),
        ClassShape("place-cards", 2, 0.58, 1000, 512, 500, 0.7, 0.0, 60.0, False),
    ),
    team_shares=_TEAMS,
    burst_factor=4.0,
)

SHAPES = {shape.name: shape for shape in (CROATIA, JALISCO)}
PREFILL_PER_STEP = 512.0
"""Prompt tokens that one engine step reads."""
