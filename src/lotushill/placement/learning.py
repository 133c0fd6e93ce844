"""What an upstream's load and the pace of its service learn from the events of requests. Pure."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.placement.pace import reading_seconds

if TYPE_CHECKING:
    from lotushill.placement.messages import Placed
    from lotushill.placement.pace import Pace
    from lotushill.placement.quiet_pause import QuietPause
    from lotushill.placement.upstream_load import UpstreamLoad
    from lotushill.routing.service import Service

PACED_EVENTS = 8
"""Pauses of which the pace of a stream is told: a quarter of a second of a usual one."""
_QUIET_EVENTS = 4
"""Of these pauses, so many without readings beside them tell what lasts: it is the third shortest
that is told."""


def learn_first_event(
    placed: Placed, seconds: float, load: UpstreamLoad, pace: Pace, service: Service, now: float
) -> None:
    """Learn from the first event of a request, so long after it was sent."""
    if placed.first > 0.0:
        load.note_pace(seconds / placed.first, now)
    if service.engine is None:
        load.pace.note_answer(seconds, now)
        pace.note_answer(seconds / load.pace.lasting_reading)
        return
    # What lasts is told only by a prompt that had no other one beside it.
    alone = placed.ahead <= placed.reading and not load.unread.any_left
    a_token = reading_seconds(placed.ahead, seconds)
    if alone and a_token is not None:
        load.pace.note_reading(a_token, now)
    pace.note_first_event(placed.ahead, seconds / load.pace.read_slowness(now))


def learn_pause(pause: float, load: UpstreamLoad, quiet: QuietPause, now: float) -> None:
    """Learn how fast an upstream steps from a typical pause of one of its streams.

    Pauses beside the reading of prompts are longer and say nothing of it: with them, every busy
    upstream would look slow.
    """
    idle = load.unread.idle_for(now)
    if idle < _QUIET_EVENTS * pause:
        return
    running = len(load.running)
    load.pace.note_pause(pause / quiet.share(running), now)
    if idle >= PACED_EVENTS * pause:
        load.pace.note_steps(pause / quiet.at(running), now)
