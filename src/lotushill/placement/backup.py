"""Selects the upstream that holds a copy of a run's KV memory, from which the run can resume.

A stream that must not run twice is lost with its upstream unless another upstream holds a copy of
the tokens that it has processed and generated. The cost of a copy grows with its number of tokens,
so copies are kept only for runs whose expected loss is larger. Performs no I/O.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from lotushill.placement.need import Need
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import EngineProfile
    from lotushill.routing.upstream import Upstream

COPY_LOSS_PER_TOKEN = 2e-5
"""Cost of copying one token between upstreams, as a share of a request's credit.

At the users' prices for moved memory, a thousand tokens cost about 0.02 of one request.
"""
_LOST_STREAM_LOSS = 0.9
"""Loss of a stream that is interrupted and cannot resume, as a share of its credit."""
_MAX_MEMORY_FRACTION = 0.7
"""Fraction of an upstream's memory below which it accepts copies. On fuller upstreams a copy would
displace cached prompt parts."""
_MAX_FAILURE_RATE = 0.2
"""Failure rate above which an upstream is not used to hold copies."""


def is_worth_copying(need: Need, seconds: float, interruption_rate: float) -> bool:
    """Return whether the expected loss of a run exceeds the cost of copying its memory.

    `seconds` is the predicted duration of the run.
    """
    loss_probability = -math.expm1(-interruption_rate * seconds)
    return loss_probability * _LOST_STREAM_LOSS > COPY_LOSS_PER_TOKEN * (
        need.prompt_tokens + need.output_tokens
    )


def backup_target(
    chosen: Upstream,
    need: Need,
    engine: EngineProfile,
    upstreams: Iterable[Upstream],
    loads: Mapping[str, UpstreamLoad],
    now: float,
) -> Upstream | None:
    """Return the upstream with the most free memory for a copy of a run, None if none has enough.

    The run is on `chosen` and may go on only at its version. Among upstreams with enough free
    memory, those in another hall are preferred, since a hall can fail as a whole.
    """
    tokens = need.prompt_tokens + need.output_tokens
    max_held_tokens = _MAX_MEMORY_FRACTION * engine.memory_tokens - tokens
    suitable = []
    for item in upstreams:
        load = loads.get(item.id)
        held_tokens = load.reserved_tokens if load else 0
        is_healthy = load is None or not (
            load.is_unreachable(now) or load.failures.rate(now) > _MAX_FAILURE_RATE
        )
        is_usable = item.id != chosen.id and item.version == chosen.version
        if is_usable and is_healthy and held_tokens < max_held_tokens:
            suitable.append((item.hall == chosen.hall, held_tokens, item.id, item))
    return min(suitable, key=lambda entry: entry[:3])[3] if suitable else None
