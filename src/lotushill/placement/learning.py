"""What an upstream's load and the pace of its service learn from the events of requests. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.pace import seconds_per_token

if TYPE_CHECKING:
    from lotushill.placement.baseline_pause import BaselinePause
    from lotushill.placement.messages import Placed
    from lotushill.placement.pace import ServicePace
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import Service

PACE_SAMPLE_PAUSES = 8
"""Pauses of which the pace of a stream is told: a quarter of a second of a usual one."""
_QUIET_EVENTS = 4
"""Of these pauses, so many without readings beside them tell what lasts: it is the third shortest
that is told."""


def learn_first_event(
    placed: Placed,
    seconds: float,
    load: UpstreamLoad,
    pace: ServicePace,
    service: Service,
    now: float,
) -> None:
    """Learn from the first event of a request, so long after it was sent."""
    if placed.first_event_seconds > 0.0:
        load.note_pace(seconds / placed.first_event_seconds, now)
    if service.engine is None:
        load.pace.note_answer(seconds, now)
        pace.note_answer(seconds / load.pace.long_term_read_slowness)
        return
    # What lasts is told only by a prompt that had no other one beside it.
    alone = placed.total_prefill_tokens <= placed.prefill_tokens and not load.prefill_queue.is_busy
    a_token = seconds_per_token(placed.total_prefill_tokens, seconds)
    if alone and a_token is not None:
        load.pace.note_prefill_time(a_token, now)
    pace.note_first_event(placed.total_prefill_tokens, seconds / load.pace.read_slowness(now))


def learn_pause(pause: float, load: UpstreamLoad, quiet: BaselinePause, now: float) -> None:
    """Learn how fast an upstream steps from a typical pause of one of its streams.

    Pauses beside the reading of prompts are longer and say nothing of it: with them, every busy
    upstream would look slow.
    """
    idle = load.prefill_queue.idle_seconds(now)
    if idle < _QUIET_EVENTS * pause:
        return
    running = len(load.running)
    load.pace.note_pause(pause / quiet.share(running), now)
    if idle >= PACE_SAMPLE_PAUSES * pause:
        load.pace.note_stream_ratio(pause / quiet.at(running), now)
