"""Runs each day of bench/days on one or more sites and prints a row for each day and site.

    python scripts/play_days.py BENCH SITE... [--jobs N] [--only PREFIX] [--no-cpu] [--table FILE]

BENCH is the users' bench program and SITE their site files; neither is part of this repository.
Most days contain one kind of fault; days with two names combine two kinds. Exits with 1 if a rule
was broken.
"""

from __future__ import annotations

import argparse
import re
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DAYS = ROOT / "bench" / "days"
_RESULT = re.compile(
    r"^\S+ +\d+/\d+ +[\d.]+ +(?P<worth>-?[\d.]+) +(?P<served>[\d.]+) +(?P<refused>[\d.]+)",
    re.MULTILINE,
)
_BROKEN_RULES = re.compile(r"^rules broken: (?P<rules>.*)$", re.MULTILINE)
_DETAIL = re.compile(r"^(?P<line>[A-Z]+ at .*)$", re.MULTILINE)
_REPORT_TAIL_CHARACTERS = 120
"""Number of characters of the report that are shown if a day could not be run."""


@dataclass(frozen=True)
class DayResult:
    """Outcome of a day on a site, in fractions of the credit and of the requests."""

    day: str
    site: str
    worth: str
    served: str
    refused: str
    rules: str
    """Rules that were broken, or the reason why the day could not be run."""
    detail: str

    @property
    def row(self) -> str:
        """Return the outcome as a table row."""
        cells = (self.day, self.site, self.worth, self.served, self.refused, self.rules or "-")
        return f"| {' | '.join(cells)} |"


def play(bench: Path, site: Path, day: Path, options: list[str]) -> DayResult:
    """Run one day on a site and return its outcome."""
    command = [str(bench), "run", str(site), str(day), *options, "--why", f"{day.stem} alone"]
    completed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    result = _RESULT.search(completed.stdout)
    if result is None:
        report = (completed.stdout + completed.stderr).strip().replace("\n", " ")
        return DayResult(
            day.stem, site.stem, "", "", "", f"not run: {report[-_REPORT_TAIL_CHARACTERS:]}", ""
        )
    broken = _BROKEN_RULES.search(completed.stdout)
    detail = _DETAIL.search(completed.stdout)
    return DayResult(
        day.stem,
        site.stem,
        result["worth"],
        result["served"],
        result["refused"],
        broken["rules"] if broken else "",
        detail["line"] if detail else "",
    )


def table(results: list[DayResult]) -> str:
    """Return all results as a Markdown table."""
    head = "| day | site | worth | served | refused | rules broken |\n|---|---|---|---|---|---|\n"
    return head + "".join(f"{item.row}\n" for item in results)


def main() -> int:
    """Run the days; return 1 if a rule was broken or a day could not be run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    parser.add_argument("--no-cpu", action="store_true", help="do not charge processor time")
    parser.add_argument("--table", type=Path, help="also write the table to this file")
    options = parser.parse_args()
    days = sorted(DAYS.glob(f"{options.only}*.toml"))
    extra = ["--no-cpu"] if options.no_cpu else []
    with ThreadPoolExecutor(options.jobs) as pool:
        wanted = [(site.resolve(), day) for day in days for site in options.sites]
        results = []
        for item in pool.map(lambda one: play(options.bench, one[0], one[1], extra), wanted):
            results.append(item)
            print(item.row, flush=True)
            if item.detail:
                print(f"    {item.detail}", flush=True)
    if options.table:
        options.table.write_text(table(results), encoding="utf-8")
    broken = sum(bool(item.rules) for item in results)
    print(f"{len(results)} runs, {broken} with broken rules or not run")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
