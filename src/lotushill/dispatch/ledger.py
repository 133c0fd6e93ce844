"""What runs in a cell: on which upstream, in which tier, and what it was charged."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from lotushill.dispatch.limits import Limits
from lotushill.dispatch.upstream_state import Running
from lotushill.dispatch.upstream_state import UpstreamState
from lotushill.dispatch.waiting_room import Waiting
from lotushill.dispatch.waiting_room import WaitingRoom


@dataclass
class Ledger:
    """The books of one cell; what waits is charged here when it starts."""

    waiting: WaitingRoom = field(default_factory=WaitingRoom)
    upstreams: dict[str, UpstreamState] = field(default_factory=dict)
    running: dict[str, Running] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    _by_tier: dict[int, int] = field(default_factory=dict)
    """How many of each tier run outside the lane."""

    def start(
        self, waiting: Waiting, upstream: UpstreamState, in_lane: bool, now: float
    ) -> Running:
        """Take a start on the books."""
        ask = waiting.ask
        running = Running(waiting, ask.attempt, upstream.name, now, in_lane)
        self.running[ask.request] = running
        if not in_lane:
            self._by_tier[ask.tier] = self._by_tier.get(ask.tier, 0) + 1
        upstream.start(running, now)
        running.filled = upstream.total() == upstream.cap.slots
        upstream.prefixes.add(ask.prefix)
        self.waiting.charge(waiting, waiting.expected_tokens)
        self.limits.start(waiting.class_key, ask, waiting.expected_tokens, now)
        return running

    def settle(self, running: Running, output_tokens: int, now: float) -> None:
        """Take an attempt off the books and correct what was charged for it."""
        waiting = running.waiting
        del self.running[waiting.ask.request]
        if not running.in_lane:
            self._by_tier[running.tier] -= 1
        upstream = self.upstreams[running.upstream]
        upstream.finish(waiting.ask.request, now)
        correction = waiting.ask.prompt_tokens + output_tokens - waiting.expected_tokens
        self.waiting.charge(waiting, correction)
        self.limits.end(waiting.class_key, correction)
        if upstream.removed and not upstream.running:
            del self.upstreams[upstream.name]

    def running_from(self, tier: int) -> int:
        """Return how many of a tier and all lower ones run outside the lane."""
        return sum(count for rank, count in self._by_tier.items() if rank >= tier)

    def asked(self) -> dict[int, int]:
        """Return how many slots each tier asks for, running and waiting together."""
        asked = dict(self._by_tier)
        for tier in self.waiting.tiers():
            asked[tier] = asked.get(tier, 0) + self.waiting.size(tier)
        return asked

    def slots(self) -> int:
        """Return the slots of all upstreams that are not leaving."""
        return sum(item.cap.slots for item in self.upstreams.values() if not item.leaving)
