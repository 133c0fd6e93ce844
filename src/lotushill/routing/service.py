"""A service: a set of upstreams that are alike."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class EngineProfile:
    """What is told of a service's model engines."""

    slots: int
    """Requests that run in one batch."""
    memory_tokens: int
    """Tokens of running requests and kept prompt parts that fit one engine."""
    tokens_per_event: int
    """Tokens that one event of a stream carries, at most."""
    token_bytes: int = 0
    """Bytes of memory that one token takes."""
    link_rate: float = 0.0
    """Bytes a second that go from one engine to another; 0 where memory cannot be moved."""
    can_back_up_memory: bool = False
    """Whether an engine can copy a run's memory to another one while it grows."""

    @property
    def can_move_memory(self) -> bool:
        """Return whether the memory of a run can be moved to another engine."""
        return self.link_rate > 0.0


@dataclass(frozen=True)
class ScalingProfile:
    """Within what bounds engines of a service may be ordered."""

    min_engines: int
    """Engines in one hall, of both kinds together."""
    max_engines: int
    reclaimable_price: float | None
    """Price of an engine that may be taken away, as a share of an ordinary one; None for none."""
    boot_seconds: float = 5.0
    """From an order until its engines serve."""
    hall_prices: tuple[tuple[str, float], ...] = ()
    """Price of an ordinary engine by hall; 1 where it is not told."""

    def price(self, hall: str) -> float:
        """Return the price of an ordinary engine in a hall."""
        return dict(self.hall_prices).get(hall, 1.0)


@dataclass(frozen=True)
class Service:
    """One service; `engine` is None for a plain service."""

    name: str
    max_connections: int
    """Connections that one upstream accepts from all gateways together."""
    engine: EngineProfile | None
    scaling: ScalingProfile | None = None
    """None where its engines cannot be ordered."""
