"""What holds for each move, whatever fails meanwhile."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from tests.requests.moving_upstream import EVENTS
from tests.requests.rig import event

if TYPE_CHECKING:
    from tests.requests.faulty_upstream import Execution
    from tests.requests.virtual_site import VirtualSite

WHOLE = b"".join(event(number) for number in range(EVENTS))
_OVERLAP_SECONDS = 0.5
"""Time for which two upstreams may work on a run, as one learns late that its connection ended."""


def violations(site: VirtualSite, patience_seconds: float = math.inf) -> list[str]:
    """Return which promises a move has broken; empty if none.

    A client has no patience left if the last event came `patience_seconds` before the end.
    """
    client = site.client
    broken = {
        "an answer is truncated although an upstream held the run": (
            not client.whole
            and not client.has_left
            and bool(site.usable_at_end)
            and bool(site.retries_left)
            and site.ended_at - client.last_event_at < patience_seconds
        ),
        "events are out of order or repeated": (
            not WHOLE.startswith(client.body) if client.status == 200 else False
        ),
        "a whole answer lacks events": (
            client.whole and client.status == 200 and client.body != WHOLE
        ),
        "a run is executed at two upstreams at once": _overlaps(site.world.executions),
        "a request that may run once is run from the start twice": (
            not site.resumable and sum(item.from_start for item in site.world.executions) > 1
        ),
        "memory stays held": bool(site.held),
        "a handover does not end": bool(site.handovers_left),
        "the request arrives more often than retries were spent": (
            site.arrivals() - 1 > site.retries_spent
        ),
        "a reserved retry is not returned": site.retries_reserved != 0,
        "a sound stream is closed": (
            not site.resumable and not client.has_left and bool(site.world.closed_while_sound)
        ),
    }
    return [text for text, is_broken in broken.items() if is_broken]


def _overlaps(executions: list[Execution]) -> bool:
    """Return whether two executions took place at once for longer than allowed."""
    for number, one in enumerate(executions):
        for other in executions[number + 1 :]:
            ends = [item.until for item in (one, other) if item.until is not None]
            if len(ends) < 2 or min(ends) - max(one.since, other.since) > _OVERLAP_SECONDS:
                return True
    return False
