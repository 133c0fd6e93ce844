"""The knobs of a cell."""

from __future__ import annotations

from dataclasses import dataclass

from lotushill.dispatch.placement import Contention


@dataclass(frozen=True)
class CellOptions:
    """The defaults are those that measured best; docs/design-dispatch.md has the figures."""

    slots: int = 16
    """Requests at one time with which an upstream starts."""
    max_slots: int = 64
    """Requests at one time that no upstream is given more than."""
    max_waiting: int = 10_000
    lane_share: float = 0.03
    """Share of the slots set aside for progress, on top of them."""
    finish_quantile: float = 0.97
    """A request is started only while this share of its class's answers would still be whole."""
    finish_share: float = 0.5
    """Share of the time left that a lower tier's run may be expected to take."""
    contention: Contention = Contention.PAUSE
    tokens_per_load: float = 4000.0
    """Cached prompt tokens that are worth as much as one whole engine's load, 0 for nothing."""
    adapt: bool = True
    """Whether caps follow what entries measure."""
