"""One request of a client in a replay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.load.policy.engine import Run
    from lotushill.load.policy.scenario import RequestClass
    from lotushill.placement.choice import Choice
    from lotushill.placement.need import Need


@dataclass
class Client:
    """One request of a client, over its tries."""

    kind: RequestClass
    need: Need
    output: int
    arrived: float
    worth: float
    scheduler: int
    number: int = 0
    tries: int = 1
    impatient: bool = False
    """Whether it comes back at once and often, whatever it is told."""
    waited_since: float = 0.0
    began_at: float = 0.0
    """When its first event came, 0 for never."""
    served: bool = False
    engine: int = -1
    run: Run | None = None
    choice: Choice | None = None
    sent_at: float = 0.0
    due: float = 0.0
    """Seconds of reading that were due beside it at its latest event."""
    over: bool = False
    excluded: frozenset[str] = frozenset()
    key: int = 0
    """Of the request in line, the same for all its tries."""
    rejected: int = 0
    """Engines that have turned this try away."""
