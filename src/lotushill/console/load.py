"""The program `lotushill-load`: measures the mechanisms of a gateway, with results as JSON."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

from lotushill.console.program import new_parser
from lotushill.contracts.yaml_text import parse_file
from lotushill.load.limits.comparison import compare as compare_limits
from lotushill.load.limits.comparison import table as limits_table
from lotushill.load.policy.comparison import compare
from lotushill.load.policy.comparison import table as table_of_variants
from lotushill.load.policy.scenario import parse_scenario
from lotushill.load.slopes import measure
from lotushill.load.slopes import table
from lotushill.load.slopes import to_json
from lotushill.process.exit_status import EXIT_OK

if TYPE_CHECKING:
    import argparse


def main(arguments: list[str] | None = None) -> None:
    """Run one measurement."""
    parser = new_parser("lotushill-load", "Measure what the mechanisms of a gateway cost.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_slopes(commands)
    _add_policy(commands)
    _add_limits(commands)
    options = parser.parse_args(arguments)
    sys.exit(options.run(options))


def _add_slopes(commands: Any) -> None:
    parser = commands.add_parser("slopes", help="processor time and bytes of each mechanism")
    parser.add_argument("--json", type=Path, help="also write the figures to this file")
    parser.add_argument("--repeats", type=int, default=400, help="calls per round")
    parser.set_defaults(run=_run_slopes)


def _add_policy(commands: Any) -> None:
    parser = commands.add_parser(
        "policy", help="replay a load against emulated engines and compare variants of the policy"
    )
    parser.add_argument("scenario", type=Path, help="YAML, as in bench/scenarios")
    parser.add_argument("--seeds", type=int, default=3, help="replays of each variant")
    parser.add_argument("--processes", type=int, default=2, help="replays run in parallel")
    parser.set_defaults(run=_run_policy)


def _add_limits(commands: Any) -> None:
    parser = commands.add_parser(
        "limits", help="compare schemes by which gateways jointly keep to an upstream's limit"
    )
    parser.add_argument("--gateways", type=int, nargs="+", default=[9, 81, 360])
    parser.add_argument("--rates", type=float, nargs="+", default=[0.2, 1.0, 4.0, 50.0])
    parser.add_argument("--processes", type=int, default=2, help="replays run in parallel")
    parser.set_defaults(run=_run_limits)


def _run_limits(options: argparse.Namespace) -> int:
    print(limits_table(compare_limits(options.gateways, options.rates, options.processes)))
    return EXIT_OK


def _run_policy(options: argparse.Namespace) -> int:
    scenario = parse_scenario(parse_file(options.scenario))
    print(table_of_variants(compare(scenario, options.seeds, options.processes)))
    return EXIT_OK


def _run_slopes(options: argparse.Namespace) -> int:
    slopes = measure(repeats=options.repeats)
    print(table(slopes))
    if options.json:
        options.json.parent.mkdir(parents=True, exist_ok=True)
        options.json.write_text(to_json(slopes), encoding="utf-8")
    return EXIT_OK


if __name__ == "__main__":
    main()
