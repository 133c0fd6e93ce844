"""Metrics by statsd."""

from __future__ import annotations

from typing import TYPE_CHECKING

from statsd import StatsClient

from lotushill.callers.attainment import has_target
from lotushill.callers.attainment import met_target
from lotushill.links.address import split_address

if TYPE_CHECKING:
    from lotushill.callers.call import Call
    from lotushill.callers.outcome import Outcome
    from lotushill.callers.runner import Progress


class Metrics:
    """Counters and timings by class; without an address nothing is sent."""

    def __init__(self, address: str | None, prefix: str = "lotushill") -> None:
        self._client: StatsClient | None = None
        if address is not None:
            host, port = split_address(address)
            self._client = StatsClient(host, port, prefix=prefix)

    def note_outcome(self, call: Call, outcome: Outcome, progress: Progress, now: float) -> None:
        """Note the end of one request."""
        if self._client is None:
            return
        contract = call.contract
        name = f"class.{contract.team}.{contract.service}.{contract.klass}"
        with self._client.pipeline() as pipe:
            pipe.incr(f"{name}.outcome.{outcome.kind.value}")
            pipe.timing(f"{name}.queue_wait", progress.waited * 1000)
            pipe.timing(f"{name}.whole", (now - progress.arrived) * 1000)
            pipe.incr(f"{name}.wasted_tokens", progress.wasted_tokens)
            pipe.incr(f"{name}.good_tokens", progress.good_tokens)
            if progress.first_token_at:
                first = progress.first_token_at - progress.arrived
                pipe.timing(f"{name}.first_token", first * 1000)
            if has_target(contract):
                met = met_target(contract, outcome, progress, now)
                pipe.incr(f"{name}.target.{'met' if met else 'missed'}")
