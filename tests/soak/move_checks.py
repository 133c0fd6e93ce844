"""Invariants of runs that move between engines, checked against what engines and clients saw."""

from __future__ import annotations

import math
from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from tests.soak.run_memory import MemoryEnd
from tests.soak.run_memory import RunEnd

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from tests.soak.records import Answer
    from tests.soak.run_memory import HeldSpan
    from tests.soak.run_memory import RunMemories
    from tests.soak.run_memory import RunSpan

    WasAbsent = Callable[[str, float, float], bool]

_DEADLINE_MARGIN_SECONDS = 0.2
"""Time before its deadline from which a gateway may end a stream that is not over."""
_MAX_OVERLAP_SECONDS = 0.5
"""Longest time for which two engines may work on one run: an engine notices with a delay that the
connection of a run has been closed."""
_MAX_HELD_SECONDS = 3.0
"""Longest time for which memory may stay held after its run: a call and its repetitions."""


def move_violations(
    memories: RunMemories, answers: Iterable[Answer], was_absent: WasAbsent
) -> list[str]:
    """Return violations; `was_absent` states whether a gateway was killed or frozen."""
    runs: defaultdict[str, list[RunSpan]] = defaultdict(list)
    for run in memories.runs:
        runs[run.attempt].append(run)
    held: defaultdict[str, list[HeldSpan]] = defaultdict(list)
    for span in memories.held:
        held[span.attempt].append(span)
    violations = []
    for attempt, spans in runs.items():
        violations += _run_twice(attempt, spans, memories.observed_until)
    for answer in answers:
        if answer.kind != "long" or not runs[answer.attempt]:
            continue
        violations += _truncated(answer, runs[answer.attempt], held[answer.attempt], was_absent)
        violations += _held_long(
            answer, runs[answer.attempt], held[answer.attempt], memories, was_absent
        )
    return violations


def _run_twice(attempt: str, spans: list[RunSpan], observed_until: float) -> list[str]:
    """Return whether a run began twice, or two engines worked on it at once."""
    violations = []
    begun = sum(not run.handle for run in spans)
    if begun > 1:
        violations.append(f"{attempt}: began {begun} times although it may run once")
    for number, run in enumerate(spans):
        for other in spans[number + 1 :]:
            overlap = min(run.until, other.until, observed_until) - max(run.since, other.since)
            if overlap > _MAX_OVERLAP_SECONDS:
                violations.append(
                    f"{attempt}: ran at {run.engine} and {other.engine} at once for {overlap:.2f} s"
                )
    return violations


def truncation_causes(
    memories: RunMemories, answers: Iterable[Answer], was_absent: WasAbsent
) -> Counter[str]:
    """Return how many answers of long streams were truncated, by cause."""
    causes: Counter[str] = Counter()
    for answer in answers:
        if answer.kind != "long" or answer.status != 200 or answer.whole:
            continue
        runs = [run for run in memories.runs if run.attempt == answer.attempt]
        held = [span for span in memories.held if span.attempt == answer.attempt]
        if was_absent(answer.gateway, answer.sent_at, answer.ended_at):
            causes["gateway lost"] += 1
        elif answer.ended_at >= _may_end_at(answer):
            causes["deadline"] += 1
        elif _truncated(answer, runs, held, was_absent):
            causes["given up"] += 1
        else:
            causes[max(runs, key=lambda run: run.since).end.value] += 1
    return causes


def _may_end_at(answer: Answer) -> float:
    """Return the time from which a gateway may end a stream that is not over."""
    return answer.sent_at + answer.deadline_seconds - _DEADLINE_MARGIN_SECONDS


def _truncated(
    answer: Answer, runs: list[RunSpan], held: list[HeldSpan], was_absent: WasAbsent
) -> list[str]:
    """Return whether an answer was truncated while an engine ran or held its run soundly.

    If the run ended with its engine, only memory under a handle that was named to the gateway
    counts, since it can ask for no other. If a call stopped the run, all memory counts: the gateway
    must not ask for a stop without knowing how the run continues.
    """
    is_truncated = answer.status == 200 and not answer.whole
    if not is_truncated or answer.ended_at >= _may_end_at(answer):
        return []
    if was_absent(answer.gateway, answer.sent_at, answer.ended_at):
        return []
    last = max(runs, key=lambda run: run.since)
    where = f"{answer.attempt}: truncated {answer.ended_at - answer.sent_at:.2f} s after its start"
    if last.end in (RunEnd.RUNNING, RunEnd.CLOSED, RunEnd.WHOLE):
        return [f"{where} although {last.engine} ran it soundly ({last.end.value})"]
    last_end = max(run.until for run in runs)
    named_by = math.inf if last.end is RunEnd.STOPPED else answer.ended_at
    sound = [
        span
        for span in held
        if span.named_at <= named_by and _is_sound(span, last_end, answer.ended_at)
    ]
    return [
        f"{where} although {span.engine} held its memory under {span.handle} ({span.end.value})"
        for span in sound[:1]
    ]


def _is_sound(span: HeldSpan, last_end: float, given_up_at: float) -> bool:
    """Return whether a run could be continued from memory when its gateway gave it up.

    The gateway frees what it has given up, so memory that was freed after the run counts as well.
    """
    if span.end is MemoryEnd.FREED:
        return span.until >= last_end
    if span.end is MemoryEnd.ENGINE_ENDED:
        return span.until > given_up_at
    return span.end is MemoryEnd.HELD


def _held_long(
    answer: Answer,
    runs: list[RunSpan],
    held: list[HeldSpan],
    memories: RunMemories,
    was_absent: WasAbsent,
) -> list[str]:
    """Return memory that stayed held after its run although the gateway could free it.

    The gateway asks the engine that issued a handle to free it at all engines.
    """
    last_end = max([answer.ended_at, *(r.until for r in runs if r.end is not RunEnd.RUNNING)])
    free_by = last_end + _MAX_HELD_SECONDS
    if free_by > memories.observed_until or was_absent(answer.gateway, answer.sent_at, free_by):
        return []
    return [
        f"{answer.attempt}: {span.engine} held its memory under {span.handle} for "
        f"{min(span.until, memories.observed_until) - last_end:.1f} s after its run"
        for span in held
        if span.named_at < free_by < span.until
        and memories.engine_ends.get(span.issuer, free_by) >= free_by
    ]
