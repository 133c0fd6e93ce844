"""Which upstream keeps a copy of a run's memory, so that the run can go on there if it is cut.

A stream that must not run twice is lost with its upstream, unless another one holds a copy of what
it has read and made. The copy is priced by its tokens, so it is kept only for runs whose expected
loss is larger. Pure.
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
"""What copying a token between upstreams costs, as a share of a request's credit.

A thousand tokens cost the users some 0.02 of one request, by their prices for memory moved.
"""
_CUT_LOSS = 0.9
"""What a stream loses that is cut off and cannot go on."""
_ROOM_SHARE = 0.7
"""Of an upstream's memory; fuller ones take no copies, which would displace prompt parts."""
_SOUND_RATE = 0.2
"""No copy is kept on an upstream that fails more often than this."""


def is_worth_copying(need: Need, seconds: float, cut_rate: float) -> bool:
    """Return whether a run of so many seconds risks more than a copy of its memory costs."""
    risk = -math.expm1(-cut_rate * seconds)
    return risk * _CUT_LOSS > COPY_LOSS_PER_TOKEN * (need.prompt_tokens + need.output_tokens)


def backup_target(
    chosen: Upstream,
    need: Need,
    engine: EngineProfile,
    upstreams: Iterable[Upstream],
    loads: Mapping[str, UpstreamLoad],
    now: float,
) -> Upstream | None:
    """Return the upstream with most room for a copy of a run on `chosen`, None without room.

    One in another hall is preferred where both have room, since a hall can fail as a whole.
    """
    tokens = need.prompt_tokens + need.output_tokens
    room = _ROOM_SHARE * engine.memory_tokens - tokens
    fit = []
    for item in upstreams:
        load = loads.get(item.id)
        held = load.reserved_tokens if load else 0
        sound = load is None or not (
            load.is_unreachable(now) or load.failures.rate(now) > _SOUND_RATE
        )
        if item.id != chosen.id and sound and held < room:
            fit.append((item.hall == chosen.hall, held, item.id, item))
    return min(fit, key=lambda entry: entry[:3])[3] if fit else None
