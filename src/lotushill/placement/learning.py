"""Updates an upstream's load and its service's pace from request events. Performs no I/O."""

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
"""Number of pauses from which the pace of a stream is reported: a quarter of a second of a typical
stream."""
_BASELINE_PAUSES = 4
"""Number of pauses without concurrent prefill that suffices for a long-term sample, since the
third shortest of the pauses is reported."""


def learn_first_event(
    placed: Placed,
    seconds: float,
    load: UpstreamLoad,
    pace: ServicePace,
    service: Service,
    now: float,
) -> None:
    """Update the estimates from the first event of a request, `seconds` after it was sent."""
    if placed.first_event_seconds > 0.0:
        load.note_pace(seconds / placed.first_event_seconds, now)
    if service.engine is None:
        load.pace.note_answer(seconds, now)
        pace.note_answer(seconds / load.pace.long_term_prefill_slowness)
        return
    # Only a prompt without any concurrent one is a sample for the long-term pace.
    without_others = (
        placed.total_prefill_tokens <= placed.prefill_tokens and not load.prefill_queue.is_busy
    )
    token_seconds = seconds_per_token(placed.total_prefill_tokens, seconds)
    if without_others and token_seconds is not None:
        load.pace.note_prefill_time(token_seconds, now)
    pace.note_first_event(placed.total_prefill_tokens, seconds / load.pace.prefill_slowness(now))


def learn_pause(pause: float, load: UpstreamLoad, baseline: BaselinePause, now: float) -> None:
    """Update the step pace of an upstream from a typical pause of one of its streams.

    Pauses during the prefill of other prompts are longer and unrelated to the pace: if they
    counted, every busy upstream would look slow.
    """
    idle = load.prefill_queue.idle_seconds(now)
    if idle < _BASELINE_PAUSES * pause:
        return
    running = len(load.running)
    load.pace.note_pause(pause / baseline.relative_to_mean(running), now)
    if idle >= PACE_SAMPLE_PAUSES * pause:
        load.pace.note_stream_ratio(pause / baseline.at(running), now)
