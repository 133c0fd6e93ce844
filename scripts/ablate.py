"""Disable one placement mechanism at a time and print how much each contributes.

    python scripts/ablate.py BENCH SITE... --days DAY,... [--seeds N,...] [--only WORD] [--jobs N]

BENCH is the users' bench program and SITE their site files; neither is part of this repository.
Each variant runs in a copy of the committed sources under target/, without processor time, so that
a run is mostly reproducible; the journal entries of the copies are added to journal/. A table cell
is the mean worth over days and seeds minus that of the unchanged sources: a value below 0 is lost
without the mechanism.
"""

from __future__ import annotations

import argparse
import re
import shutil
import subprocess
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from statistics import mean

ROOT = Path(__file__).resolve().parent.parent
COPIES = ROOT / "target" / "ablation"
_WORTH = re.compile(r"^worth (?P<worth>-?[\d.]+) =", re.MULTILINE)
_BROKEN_RULES = re.compile(r"^rules broken: (?P<rules>.*)$", re.MULTILINE)


@dataclass(frozen=True)
class Variant:
    """The sources with one mechanism disabled; an empty `file` leaves them unchanged."""

    name: str
    file: str = ""
    code: str = ""
    replacement: str = ""


PLACEMENT = "placement"
VARIANTS = (
    Variant("unchanged"),
    Variant(
        "order of upstreams",
        f"{PLACEMENT}/fleet.py",
        "ranks.get(item.id, 0.0)",
        "0.0",
    ),
    Variant(
        "fetched prefixes",
        f"{PLACEMENT}/fleet.py",
        "if not engine.link_rate:",
        "if True:",
    ),
    Variant(
        "backups of runs",
        f"{PLACEMENT}/fleet.py",
        "if engine is None or not engine.can_back_up_memory:",
        "if True:",
    ),
    Variant(
        "failure rates",
        f"{PLACEMENT}/weigher.py",
        "_FAILURE_LOSS = 0.9",
        "_FAILURE_LOSS = 0.0",
    ),
    Variant(
        "step slowness",
        f"{PLACEMENT}/upstream_load.py",
        "return 1.0 + (self._step_slowness - 1.0) * fresh",
        "return 1.0 + 0.0 * fresh",
    ),
    Variant(
        "interference cost",
        f"{PLACEMENT}/weigher.py",
        "return _LONG_PAUSE_LOSS * expected_misses",
        "return 0.0 * expected_misses",
    ),
    Variant(
        "pauses of the request itself",
        f"{PLACEMENT}/weigher.py",
        "if not target_gap:",
        "if True:",
    ),
    Variant(
        "learned bound of pauses",
        f"{PLACEMENT}/pauses.py",
        "min(waiting, self.bound * slowness)",
        "waiting",
    ),
    Variant(
        "engine memory",
        f"{PLACEMENT}/weigher.py",
        "_FULL_MEMORY_LOSS = 1.0",
        "_FULL_MEMORY_LOSS = 0.0",
    ),
    Variant(
        "reread tokens",
        f"{PLACEMENT}/weigher.py",
        "_REREAD_LOSS_PER_TOKEN = 2.0e-4",
        "_REREAD_LOSS_PER_TOKEN = 0.0",
    ),
    Variant(
        "prefill cost",
        f"{PLACEMENT}/weigher.py",
        "_PREFILL_LOSS_PER_TOKEN = 1e-5",
        "_PREFILL_LOSS_PER_TOKEN = 0.0",
    ),
    Variant(
        "size relative to the typical request",
        f"{PLACEMENT}/typical_requests.py",
        "if typical <= 0:",
        "if True:",
    ),
    Variant(
        "preference for the own hall",
        f"{PLACEMENT}/weigher.py",
        "_OTHER_HALL_LOSS = 0.01",
        "_OTHER_HALL_LOSS = 0.0",
    ),
    Variant(
        "tiers sent to engines",
        "platform/request_head.py",
        "_TEAM_LEVELS * urgency.tier + team",
        "1",
    ),
    Variant(
        "load shedding of the longest",
        f"{PLACEMENT}/shedding.py",
        "overload = self.is_long(need) and is_late",
        "overload = False",
    ),
    Variant(
        "free slots required for the longest",
        f"{PLACEMENT}/shedding.py",
        "is_late = not with_free_slot or wait_seconds",
        "is_late = wait_seconds",
    ),
    Variant(
        "load of other gateways",
        "scheduling/shared_load.py",
        "if load.sender == self._name:",
        "if True:",
    ),
    Variant(
        "load snapshots",
        "scheduling/shared_load.py",
        "if now < self._snapshot_due_at:",
        "if True:",
    ),
)


@dataclass(frozen=True)
class BenchRun:
    """One bench run of one variant."""

    variant: Variant
    site: Path
    day: str
    seed: str


@dataclass(frozen=True)
class Result:
    """Outcome of one bench run."""

    bench_run: BenchRun
    worth: float
    broken: str


def make_copy(variant: Variant) -> Path:
    """Return a copy of the committed sources with the variant's mechanism disabled."""
    folder = COPIES / variant.name.replace(" ", "-")
    if folder.exists():
        shutil.rmtree(folder)
    folder.parent.mkdir(parents=True, exist_ok=True)
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(folder)], check=True)
    if variant.file:
        target = folder / "src" / "lotushill" / variant.file
        text = target.read_text(encoding="utf-8")
        if variant.code not in text:
            raise SystemExit(
                f"{variant.name}: the code to disable was not found in the source file"
            )
        target.write_text(text.replace(variant.code, variant.replacement), encoding="utf-8")
    subprocess.run(["git", "-C", str(folder), "add", "--all"], check=True)
    return folder


def run(bench: Path, bench_run: BenchRun) -> Result:
    """Run one day on the bench and read the worth from its report."""
    folder = COPIES / bench_run.variant.name.replace(" ", "-")
    command = [str(bench), "run", str(bench_run.site), bench_run.day, "--no-cpu"]
    command += ["--seed", bench_run.seed] if bench_run.seed else []
    command += ["--why", f"trial, ablation: without {bench_run.variant.name}"]
    completed = subprocess.run(command, cwd=folder, capture_output=True, text=True, check=False)
    worth = _WORTH.search(completed.stdout)
    if worth is None:
        raise SystemExit(
            f"{bench_run}: no worth reported; end of the output: "
            f"{(completed.stdout + completed.stderr)[-300:]}"
        )
    broken = _BROKEN_RULES.search(completed.stdout)
    return Result(bench_run, float(worth["worth"]), broken["rules"] if broken else "")


def copy_journal(variant: Variant) -> None:
    """Copy the journal entries of a variant's copy into this repository's journal."""
    source = COPIES / variant.name.replace(" ", "-") / "journal"
    for entry in source.rglob("*"):
        target = ROOT / "journal" / entry.relative_to(source)
        if entry.is_file() and not target.exists():
            target.parent.mkdir(parents=True, exist_ok=True)
            shutil.copy2(entry, target)


def print_table(results: list[Result], variants: list[Variant], sites: list[Path]) -> None:
    """Print a table with a row for each variant and a column for each site."""
    print("| without | " + " | ".join(site.stem for site in sites) + " | rules broken |")
    print("|---" * (len(sites) + 2) + "|")
    base: dict[Path, float] = {}
    for variant in variants:
        cells = []
        for site in sites:
            worths = [
                item.worth
                for item in results
                if item.bench_run.variant == variant and item.bench_run.site == site
            ]
            worth = mean(worths)
            base.setdefault(site, worth)
            cells.append(f"{worth:.3f}" if not variant.file else f"{worth - base[site]:+.3f}")
        broken = {
            item.broken for item in results if item.bench_run.variant == variant and item.broken
        }
        print(f"| {variant.name} | {' | '.join(cells)} | {', '.join(sorted(broken)) or '-'} |")


def main() -> None:
    """Run all variants and print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("sites", type=Path, nargs="+")
    parser.add_argument("--days", default="scale-1")
    parser.add_argument(
        "--seeds", default="", help="comma-separated; default: the seeds of the site files"
    )
    parser.add_argument(
        "--only", default="", help="run only the variants whose names contain this word"
    )
    parser.add_argument("--jobs", type=int, default=4)
    options = parser.parse_args()
    bench = options.bench.resolve()
    sites = [site.resolve() for site in options.sites]
    variants = [item for item in VARIANTS if not item.file or options.only in item.name]
    for variant in variants:
        make_copy(variant)
    plays = [
        BenchRun(variant, site, day, seed)
        for variant in variants
        for site in sites
        for day in options.days.split(",")
        for seed in options.seeds.split(",")
    ]
    with ThreadPoolExecutor(options.jobs) as pool:
        results = list(pool.map(lambda play: run(bench, play), plays))
    for variant in variants:
        copy_journal(variant)
    print_table(results, variants, sites)


if __name__ == "__main__":
    main()
