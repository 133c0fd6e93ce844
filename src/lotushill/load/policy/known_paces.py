"""Gives the models the true pace of every engine: an upper bound for what learning can reach."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.engine_pace import EnginePace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.load.policy.engine import Engine
    from lotushill.placement.fleet import Fleet
    from lotushill.routing.upstream import Upstream

KNOWN = 0.0
"""1 if the models receive the true pace of every engine, 0 if they learn it."""


class _KnownPace(EnginePace):
    """The true pace of one engine, without disturbances."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def step_slowness(self, now: float) -> float:
        """Return the factor by which the engine's steps are slower than usual."""
        del now
        return self._engine.slowness

    def set_long_term(self, steps: float, reading: float) -> None:
        """Ignore learned paces, since the true pace is known."""


def set_known_paces(
    fleets: Sequence[Fleet], upstreams: Sequence[Upstream], engines: Sequence[Engine]
) -> None:
    """Set the true paces in the models of all schedulers, in place of learned ones."""
    for fleet in fleets:
        for upstream, engine in zip(upstreams, engines):
            fleet.load(upstream.id).pace = _KnownPace(engine)
