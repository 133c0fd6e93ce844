"""Plays each day of bench/days on a site and prints what it broke, a line a day.

    python scripts/play_days.py BENCH SITE [--jobs N] [--only PREFIX]

BENCH is the users' bench program and SITE one of their site files; neither is part of this
repository. Each day holds one kind of trouble.
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
_RESULT = re.compile(r"^\S+ +\d+/\d+ +(?P<rest>.*)$", re.MULTILINE)
_BROKEN = re.compile(r"BROKEN: (?P<rules>.*)$", re.MULTILINE)
_DETAIL = re.compile(r"^(?P<line>[A-Z]+ at .*)$", re.MULTILINE)


@dataclass(frozen=True)
class Played:
    """What a day brought."""

    day: str
    result: str
    broken: bool
    detail: str


def play(bench: Path, site: Path, day: Path) -> Played:
    """Play one day."""
    command = [str(bench), "run", str(site), str(day), "--why", f"{day.stem} alone"]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    found = _RESULT.search(done.stdout)
    detail = _DETAIL.search(done.stdout)
    return Played(
        day.stem,
        found["rest"] if found else (done.stdout + done.stderr)[-200:],
        bool(_BROKEN.search(done.stdout)) or found is None,
        detail["line"] if detail else "",
    )


def main() -> int:
    """Play the days; return 1 if any broke a rule."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    days = sorted(DAYS.glob(f"{options.only}*.toml"))
    with ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(lambda day: play(options.bench, options.site, day), days)
        broken = 0
        for item in results:
            broken += item.broken
            print(f"{item.day:22} {item.result}", flush=True)
            if item.detail:
                print(f"{'':22} {item.detail}", flush=True)
    print(f"{len(days)} days, {broken} broken")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
