"""Draws the policy experiments."""

from __future__ import annotations

import json
from collections import defaultdict
from typing import TYPE_CHECKING
from typing import Any

import matplotlib

if TYPE_CHECKING:
    from pathlib import Path

matplotlib.use("Agg")

from matplotlib import pyplot

_SIZE = (11, 3.6)


def draw_policies(folder: Path, out: Path) -> list[Path]:
    """Draw attainment by class and wasted work over load, a file for each shape."""
    reports: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for path in sorted(folder.glob("policy-*.json")):
        report = json.loads(path.read_text(encoding="utf-8"))
        if not report["crashes"]:
            reports[report["shape"]].append(report)
    out.mkdir(parents=True, exist_ok=True)
    return [_draw(shape, found, out) for shape, found in reports.items()]


def _draw(shape: str, reports: list[dict[str, Any]], out: Path) -> Path:
    reports = sorted(reports, key=lambda report: float(report["overload"]))
    loads = [report["overload"] for report in reports]
    names = list(reports[0]["policies"])
    classes = list(next(iter(reports[0]["policies"].values()))["attainment"])
    figure, axes = pyplot.subplots(1, len(classes) + 1, figsize=_SIZE, sharex=True)
    for name in names:
        found = [report["policies"][name] for report in reports]
        for axis, klass in zip(axes, classes, strict=False):
            axis.plot(loads, [item["attainment"][klass] for item in found], "o-", label=name)
            axis.set_title(f"{klass} in time")
            axis.set_ylim(-0.03, 1.03)
        axes[-1].plot(loads, [item["wasted_share"] for item in found], "o-", label=name)
    axes[-1].set_title("wasted tokens, share")
    axes[0].set_xlabel("offered over capacity")
    axes[-1].legend(fontsize="x-small")
    figure.suptitle(shape)
    figure.tight_layout()
    path = out / f"policy-{shape}.png"
    figure.savefig(path, dpi=90)
    pyplot.close(figure)
    return path
