"""Prints which answers were truncated in a run, and which of these its gateways gave up themselves.

    python scripts/truncated_answers.py [--quiet] LOG...

A LOG contains the log lines of all gateways of a run, each with the simulated time and the
gateway's name before the structured line. For each truncated answer the script prints the lines of
its request; then a table of the causes and one of the runs that were stopped in order to be moved.
The exit code is 1 if a gateway gave up an answer whose upstream had not failed it: it had the run
stopped, closed its stream or had a fault itself, and nothing replaced the run.
"""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

GIVEN_UP_CAUSES = ("gateway-stop", "gateway-silence", "gateway-fault")
"""Values of `cut_by` for which the gateway ended the run, and not its upstream."""
HIDDEN_FIELDS = ("t", "node", "event", "request", "identity", "view", "configuration", "route")
"""Fields that are the same in all lines of a request or do not tell what became of its run."""
MEDIAN = 0.5
HIGH_QUANTILE = 0.99

Line = dict[str, object]


@dataclass
class RequestLines:
    """The log lines of one request."""

    request: str
    lines: list[tuple[float, Line]] = field(default_factory=list)
    """Simulated time in seconds and structured line, in the order of the log."""

    def of(self, event: str) -> list[Line]:
        """Return the lines of one event."""
        return [line for _, line in self.lines if line["event"] == event]

    @property
    def cut_by(self) -> str:
        """Return why its answer is truncated, empty if it is not."""
        truncated = [line for line in self.of("request.ended") if line["answer"] == "truncated"]
        return str(truncated[-1]["cut_by"]) if truncated else ""

    @property
    def was_given_up(self) -> bool:
        """Return whether a gateway truncated its answer although its upstream had not failed it."""
        if self.cut_by in GIVEN_UP_CAUSES:
            return True
        return self.cut_by == "upstream" and self._last_stream_closed_here()

    @property
    def was_stopped(self) -> bool:
        """Return whether its run was stopped in order to be moved."""
        return any(line["kind"] == "moved" for line in self.of("attempt.ended"))

    def _last_stream_closed_here(self) -> bool:
        ends = [line for line in self.of("attempt.ended") if line["kind"] in ("moved", "broken")]
        return bool(ends) and bool(ends[-1].get("closed_here"))


@dataclass
class RunLog:
    """What the logs of one run contain."""

    requests: list[RequestLines]
    left_out: int
    """Number of log lines that the gateways did not write, so that a request may be missing."""
    cut_at_exit: int
    """Number of requests in progress when processes had to exit."""


@dataclass
class StoppedRuns:
    """What became of the runs that were stopped in order to be moved."""

    requests: int = 0
    places: Counter[str] = field(default_factory=Counter)
    """Number of continuations at each place."""
    cut: int = 0
    late: int = 0
    """Number of continuations after a pause longer than the longest one that is in time."""
    pauses_ms: list[float] = field(default_factory=list)
    """Milliseconds from the last event before to the first event after each continuation."""


def read(text: str) -> RunLog:
    """Return what the log of a run contains."""
    requests: dict[str, RequestLines] = {}
    log = RunLog([], 0, 0)
    for row in text.splitlines():
        words = row.split(maxsplit=2)
        if len(words) < 3 or not words[2].startswith("{"):
            continue
        try:
            at, line = float(words[0]), json.loads(words[2])
        except ValueError:
            # A line of the bench report, or a truncated log line.
            continue
        log.left_out += line.get("left_out", 0) + line.get("lost", 0)
        if line["event"] == "process.cut":
            log.cut_at_exit += line["in_progress"]
        if "request" in line:
            name = line["request"]
            requests.setdefault(name, RequestLines(name)).lines.append((at, line))
    log.requests = list(requests.values())
    return log


def truncated(requests: Iterable[RequestLines]) -> list[RequestLines]:
    """Return the requests whose answer was truncated, those that gateways gave up first."""
    found = [item for item in requests if item.cut_by]
    return sorted(found, key=lambda item: not item.was_given_up)


def causes(requests: Iterable[RequestLines]) -> Counter[tuple[str, bool]]:
    """Count truncated answers by cause and by whether a gateway gave them up."""
    return Counter((item.cut_by, item.was_given_up) for item in truncated(requests))


def stopped_runs(requests: Iterable[RequestLines]) -> StoppedRuns:
    """Return what became of the runs that were stopped in order to be moved."""
    found = StoppedRuns()
    for item in requests:
        if not item.was_stopped:
            continue
        found.requests += 1
        found.cut += item.cut_by == "gateway-stop"
        for line in item.of("run.resumed"):
            if line["place"] not in ("target", "source"):
                continue
            pause, limit = float(str(line["pause_ms"])), float(str(line["target_gap_ms"]))
            found.places[str(line["place"])] += 1
            found.pauses_ms.append(pause)
            found.late += 0.0 < limit < pause
    return found


def quantile(values: list[float], fraction: float) -> float:
    """Return the smallest value that `fraction` of the values do not exceed, 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def timeline(item: RequestLines) -> list[str]:
    """Return the lines of a request as text, without fields that are empty."""
    rows = [f"{item.request}: {item.cut_by}{', given up by the gateway' * item.was_given_up}"]
    for at, line in item.lines:
        fields = " ".join(
            f"{name}={value}"
            for name, value in line.items()
            if name not in HIDDEN_FIELDS and value not in ("", 0, False, None)
        )
        rows.append(f"  {at:9.4f} s  {line['node']}  {line['event']}  {fields}")
    return rows


def summary(log: RunLog) -> list[str]:
    """Return the tables of causes and of stopped runs as text."""
    rows = [f"  lines left out: {log.left_out}; requests cut at exit: {log.cut_at_exit}"]
    counted: defaultdict[str, Counter[bool]] = defaultdict(Counter)
    for (cause, given_up), count in causes(log.requests).items():
        counted[cause][given_up] += count
    for cause, counts in sorted(counted.items()):
        rows.append(
            f"  truncated by {cause}: {counts.total()}, given up by gateways: {counts[True]}"
        )
    runs = stopped_runs(log.requests)
    rows.append(
        f"  runs stopped: {runs.requests}, continued at target: {runs.places['target']},"
        f" at source: {runs.places['source']}, cut: {runs.cut}, late: {runs.late};"
        f" pause {quantile(runs.pauses_ms, MEDIAN):.1f} ms in the median,"
        f" {quantile(runs.pauses_ms, HIGH_QUANTILE):.1f} ms at the 99th percentile"
    )
    return rows


def main() -> int:
    """Print the truncated answers of each log; return 1 if gateways gave up any of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("logs", type=Path, nargs="+")
    parser.add_argument(
        "--quiet", action="store_true", help="print the tables, and only answers given up"
    )
    options = parser.parse_args()
    any_given_up = False
    for path in options.logs:
        log = read(path.read_text(encoding="utf-8", errors="replace"))
        print(path.name)
        for item in truncated(log.requests):
            any_given_up |= item.was_given_up
            if item.was_given_up or not options.quiet:
                print("\n".join(timeline(item)))
        print("\n".join(summary(log)))
    return 1 if any_given_up else 0


if __name__ == "__main__":
    sys.exit(main())
