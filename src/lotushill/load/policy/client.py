"""The state of one client request in a replay."""

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
    """One request of a client, over all of its tries."""

    kind: RequestClass
    need: Need
    output: int
    arrived: float
    worth: float
    scheduler: int
    number: int = 0
    tries: int = 1
    impatient: bool = False
    """Whether the client returns at once and often, regardless of the retry time it receives."""
    waited_since: float = 0.0
    began_at: float = 0.0
    """Time of the first event, 0 if there was none."""
    served: bool = False
    engine: int = -1
    run: Run | None = None
    choice: Choice | None = None
    sent_at: float = 0.0
    queued_prefill_seconds: float = 0.0
    """Prefill work in seconds that was queued at the same engine at the latest event."""
    finished: bool = False
    excluded: frozenset[str] = frozenset()
    queue_key: int = 0
    """Key of the queue entry, the same for all tries of the request."""
    rejections: int = 0
    """Number of engines that have rejected the current try."""
