"""Decisions that know the pace of every engine: what learning it can come to at most."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.engine_pace import EnginePace

if TYPE_CHECKING:
    from collections.abc import Sequence

    from lotushill.load.policy.engine import Engine
    from lotushill.placement.fleet import Fleet
    from lotushill.routing.upstream import Upstream

KNOWN = 0.0
"""1 where decisions are told the pace of every engine, 0 where they learn it."""


class _KnownPace(EnginePace):
    """The pace of one engine as it is, disturbances left out."""

    def __init__(self, engine: Engine) -> None:
        super().__init__()
        self._engine = engine

    def step_slowness(self, now: float) -> float:
        """Return how many times slower than usual it steps."""
        del now
        return self._engine.slowness

    def set_long_term(self, steps: float, reading: float) -> None:
        """Keep to what is known."""


def tell(fleets: Sequence[Fleet], upstreams: Sequence[Upstream], engines: Sequence[Engine]) -> None:
    """Tell the models of all schedulers the paces, in place of what they would learn."""
    for fleet in fleets:
        for upstream, engine in zip(upstreams, engines):
            fleet.load(upstream.id).pace = _KnownPace(engine)
