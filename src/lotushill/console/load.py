"""The program `lotushill-load`: load and experiments."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from lotushill.console.program import EXIT_OK
from lotushill.console.program import new_parser

if TYPE_CHECKING:
    import argparse


def main() -> None:
    """Run one experiment."""
    parser = new_parser("lotushill-load", "Load and experiments, with results as JSON.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_policy(commands)
    _add_slopes(commands)
    _add_capacity(commands)
    _add_plot(commands)
    arguments = parser.parse_args()
    sys.exit(arguments.run(arguments))


def _add_policy(commands: Any) -> None:
    parser = commands.add_parser("policy", help="compare policies in virtual time")
    parser.add_argument("--shape", choices=("croatia", "jalisco"), required=True)
    parser.add_argument("--overload", type=float, default=1.0, help="offered over capacity")
    parser.add_argument("--seed", type=int, action="append", help="may be given several times")
    parser.add_argument("--seconds", type=float, default=60.0, help="length of the arrivals")
    parser.add_argument("--crashes", action="store_true", help="crash an engine a minute")
    parser.add_argument("--variants", action="store_true", help="variants of lotushill itself")
    parser.add_argument("--only", action="append", help="only policies of this name")
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.set_defaults(run=_run_policy)


def _run_policy(arguments: argparse.Namespace) -> int:
    # Imported late: the other commands need none of it.
    from lotushill.load.policy_report import compare
    from lotushill.load.policy_report import table

    report = compare(
        arguments.shape,
        arguments.overload,
        tuple(arguments.seed or (1,)),
        arguments.seconds,
        arguments.crashes,
        arguments.variants,
        tuple(arguments.only or ()),
    )
    print(table(report))
    if arguments.json:
        arguments.json.parent.mkdir(parents=True, exist_ok=True)
        arguments.json.write_text(json.dumps(report, indent=1), encoding="utf-8")
    return EXIT_OK


def _add_slopes(commands: Any) -> None:
    parser = commands.add_parser("slopes", help="measure what each role costs by itself")
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.set_defaults(run=_run_slopes)


def _run_slopes(arguments: argparse.Namespace) -> int:
    from lotushill.load.slopes import measure
    from lotushill.load.slopes import to_plain

    text = json.dumps(to_plain(measure()), indent=1)
    print(text)
    if arguments.json:
        arguments.json.parent.mkdir(parents=True, exist_ok=True)
        arguments.json.write_text(text, encoding="utf-8")
    return EXIT_OK


def _add_capacity(commands: Any) -> None:
    parser = commands.add_parser("capacity", help="work out the capacity page from figures")
    parser.add_argument("--figures", type=Path, required=True, help="folder with the JSON files")
    parser.set_defaults(run=_run_capacity)


def _run_capacity(arguments: argparse.Namespace) -> int:
    from lotushill.load.capacity_page import write_page

    print(write_page(arguments.figures), end="")
    return EXIT_OK


def _add_plot(commands: Any) -> None:
    parser = commands.add_parser("plot", help="draw attainment and waste over load")
    parser.add_argument("--figures", type=Path, required=True, help="folder with policy-*.json")
    parser.add_argument("--out", type=Path, required=True, help="folder for the PNG files")
    parser.set_defaults(run=_run_plot)


def _run_plot(arguments: argparse.Namespace) -> int:
    from lotushill.load.plots import draw_policies

    for path in draw_policies(arguments.figures, arguments.out):
        print(path)
    return EXIT_OK


if __name__ == "__main__":
    main()
