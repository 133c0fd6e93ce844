"""Faults of the steps of a move, by name, as answers that an upstream gives in turn."""

from __future__ import annotations

ALWAYS = 1_000
"""Number of times for a fault that does not end."""
CALL_FAULTS: dict[str, list[str]] = {
    "copied": [],
    "no room": ["no room"],
    "no room, always": ["no room"] * ALWAYS,
    "not stopped": ["not stopped"] * ALWAYS,
    "unknown": ["unknown"] * ALWAYS,
    "busy": ["busy"] * 2,
    "busy, always": ["busy"] * ALWAYS,
    "answer lost": ["answer lost"],
    "answers lost": ["answer lost"] * ALWAYS,
    "reset": ["reset"],
    "silent": ["silent"],
    "silent, always": ["silent"] * ALWAYS,
    "late": ["late"],
    "invalid": ["invalid"],
    "closed": ["closed"],
    "crash": ["crash"],
}
"""Answers to the calls of one step of a move, by the name of the fault; then it succeeds."""
RUN_FAULTS: dict[str, list[str]] = {
    "accepted": [],
    "not run": ["not run"],
    "not run, always": ["not run"] * ALWAYS,
    "cooldown": ["cooldown"],
    "other incarnation": ["other incarnation"] * ALWAYS,
    "failed": ["failed"],
    "failed, always": ["failed"] * ALWAYS,
    "reset": ["reset"],
    "reset, always": ["reset"] * ALWAYS,
    "used": ["used"],
    "used and running": ["used and running"],
    "late": ["late"],
    "silent": ["silent"],
    "closed": ["closed"],
    "crash": ["crash"],
}
"""Answers to the requests with a handle at one upstream; then it accepts the run."""
