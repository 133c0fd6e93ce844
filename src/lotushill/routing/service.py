"""Services: sets of equivalent upstreams."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineProfile:
    """Properties of a service's model engines."""

    slots: int
    """Requests that run in one batch."""
    memory_tokens: int
    """Capacity of one engine's memory, in tokens of running requests and cached prompt parts."""
    tokens_per_event: int
    """Maximum number of tokens in one event of a stream."""
    token_bytes: int = 0
    """Bytes of memory per token."""
    link_rate: float = 0.0
    """Transfer rate between engines in bytes per second; 0 if memory cannot be moved."""
    can_back_up_memory: bool = False
    """Whether an engine can copy a run's memory to another one while it grows."""

    @property
    def can_move_memory(self) -> bool:
        """Return whether the memory of a run can be moved to another engine."""
        return self.link_rate > 0.0


@dataclass(frozen=True)
class ScalingProfile:
    """Bounds within which engines of a service may be ordered."""

    min_engines: int
    """Minimum number of engines in one hall, ordinary and reclaimable ones together."""
    max_engines: int
    reclaimable_price: float | None
    """Price of an engine that may be reclaimed, relative to an ordinary one; None if there are
    none."""
    boot_seconds: float = 5.0
    """Seconds from an order until its engines serve."""
    hall_prices: tuple[tuple[str, float], ...] = ()
    """Price of an ordinary engine by hall; 1 for halls that are not listed."""

    def price(self, hall: str) -> float:
        """Return the price of an ordinary engine in a hall."""
        return dict(self.hall_prices).get(hall, 1.0)


@dataclass(frozen=True)
class Service:
    """One service; `engine` is None for a plain service."""

    name: str
    max_connections: int
    """Maximum number of connections that one upstream accepts from all gateways together."""
    engine: EngineProfile | None
    scaling: ScalingProfile | None = None
    """Bounds for ordering engines, None if they cannot be ordered."""
