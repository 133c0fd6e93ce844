"""Prints how close each run came to serving less urgent requests before more urgent ones.

    python scripts/near_misses.py LOG...

A LOG contains the log lines of all gateways of a run, each with the simulated time and the
gateway's name before the structured line. For each route and each window of five seconds, the
script counts the requests that were not served, and the less urgent requests that were sent to an
engine of the same service in that window with prompts over twice the mean of those. The windows
with the highest counts of both are printed first.
"""

from __future__ import annotations

import argparse
import json
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path

WINDOW_SECONDS = 5.0
STEP_SECONDS = 1.0
MIN_FAILED = 3
"""Windows with fewer requests that were not served are omitted."""
MAX_SHOWN_WINDOWS = 5
LARGER_RATIO = 2.0


@dataclass
class RequestRecord:
    """What the logs contain about one request."""

    route: str = ""
    service: str = ""
    tier: int = -1
    prompt: int = 0
    started_at: float | None = None
    """Simulated time in seconds at which it was first sent to an engine; None if it never was."""
    ended_at: float = 0.0
    outcome: str = ""
    reason: str = ""
    """Reason for which no upstream was chosen."""


@dataclass
class Window:
    """Requests of one route in a window of five seconds."""

    start: float
    route: str
    tier: int
    requested: int
    failed: int
    larger: int
    """Number of less urgent requests over twice as large that were sent to an engine."""
    reasons: Counter[str] = field(default_factory=Counter)

    @property
    def failed_fraction(self) -> float:
        """Return the fraction of the requests that were not served."""
        return self.failed / self.requested


def read(path: Path) -> list[RequestRecord]:
    """Return the requests found in the log of a run."""
    records: defaultdict[str, RequestRecord] = defaultdict(RequestRecord)
    for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
        words = line.split(maxsplit=2)
        if len(words) < 3 or not words[2].startswith("{"):
            continue
        try:
            at, note = float(words[0]), json.loads(words[2])
        except ValueError:
            # A line of the bench report, or a truncated log line.
            continue
        if "request" in note:
            _apply_line(records[note["request"]], note, at)
    return [item for item in records.values() if item.route]


def _apply_line(item: RequestRecord, note: dict[str, object], time: float) -> None:
    if note["event"] == "placement.chosen":
        item.service = str(note["service"])
        item.tier = int(str(note["tier"]))
        item.prompt = int(str(note["prompt"]))
        item.started_at = time if item.started_at is None else item.started_at
    elif note["event"] == "placement.none":
        item.route = str(note["route"])
        item.prompt = int(str(note["prompt"]))
        item.reason = str(note["reason"])
    elif note["event"] == "request.ended":
        item.route = str(note["route"])
        item.ended_at = time
        item.outcome = str(note["outcome"])


def windows(requests: list[RequestRecord]) -> list[Window]:
    """Return the windows of all routes in which requests were not served."""
    routes = _routes(requests)
    selected = []
    end = max((item.ended_at for item in requests), default=0.0)
    start = min((item.ended_at for item in requests), default=0.0)
    while start < end:
        end_of_window = start + WINDOW_SECONDS
        ended = [item for item in requests if start <= item.ended_at < end_of_window]
        started = [
            item
            for item in requests
            if item.started_at is not None and start <= item.started_at < end_of_window
        ]
        for route, (service, tier) in routes.items():
            window = _window(ended, started, start, route, service, tier, routes)
            if window.failed >= MIN_FAILED and window.larger:
                selected.append(window)
        start += STEP_SECONDS
    return sorted(selected, key=lambda item: (item.failed_fraction, item.failed), reverse=True)


def _routes(requests: list[RequestRecord]) -> dict[str, tuple[str, int]]:
    """Return the service and the most frequent tier of each route that an engine has served."""
    votes: defaultdict[str, Counter[tuple[str, int]]] = defaultdict(Counter)
    for item in requests:
        if item.service and item.prompt:
            votes[item.route][(item.service, item.tier)] += 1
    return {route: counted.most_common(1)[0][0] for route, counted in votes.items()}


def _window(
    ended: list[RequestRecord],
    started: list[RequestRecord],
    start: float,
    route: str,
    service: str,
    tier: int,
    routes: dict[str, tuple[str, int]],
) -> Window:
    requested = [item for item in ended if item.route == route and item.outcome != "client-gone"]
    failed = [item for item in requested if item.outcome != "whole"]
    mean_prompt = sum(item.prompt for item in failed) / max(1, len(failed))
    larger = sum(
        item.service == service
        and routes.get(item.route, ("", -1))[1] > tier
        and item.prompt > LARGER_RATIO * mean_prompt
        for item in started
    )
    reasons = Counter(item.reason or item.outcome for item in failed)
    return Window(start, route, tier, len(requested), len(failed), larger, reasons)


def main() -> None:
    """Print the worst windows of each log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path, nargs="+")
    options = parser.parse_args()
    for path in options.logs:
        print(path.name)
        for item in windows(read(path))[:MAX_SHOWN_WINDOWS]:
            reasons = ", ".join(
                f"{count} {reason}" for reason, count in item.reasons.most_common(3)
            )
            print(
                f"  {item.start:6.1f} s  {item.route} (tier {item.tier}): {item.failed} of"
                f" {item.requested} not served, {item.larger} larger ones sent to"
                f" engines; {reasons}"
            )


if __name__ == "__main__":
    main()
