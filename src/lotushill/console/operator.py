"""The program `lotushill`: edits the settings tree and reads back status."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.console.operator_commands import Commands
from lotushill.console.program import EXIT_BAD_SETTINGS
from lotushill.console.program import EXIT_CONFLICT
from lotushill.console.program import EXIT_FAILED
from lotushill.console.program import EXIT_UNAVAILABLE
from lotushill.console.program import new_parser
from lotushill.contracts.editor import EditConflictError
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.exceptions import UnknownPathError
from lotushill.objectapi.exceptions import PlatformError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Callable

ENVIRONMENT = "LOTUSHILL_PLATFORM"
_EXIT_CODES = """exit codes: 0 done; 1 not found or not done; 2 settings or arguments at fault;
3 another edit got there first; 4 the platform gives no answer, or the effect is not known"""


def main(arguments: list[str] | None = None) -> None:
    """Run one command."""
    options = _parser().parse_args(arguments)
    sys.exit(run(options))


def run(options: argparse.Namespace) -> int:
    """Run one command and return its exit code; failures are told on standard error."""
    try:
        result: Result = anyio.run(options.run, Commands(options.platform), options)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except UnknownPathError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except EditConflictError as error:
        for clash in error.clashes:
            print(f"{error.name}: conflict at {clash}", file=sys.stderr)
        return EXIT_CONFLICT
    except PlatformError as error:
        print(f"platform: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    print(json.dumps(result.value, indent=2) if options.json else result.text)
    return result.code


def _parser() -> argparse.ArgumentParser:
    parser = new_parser("lotushill", "Edit the settings tree and read back status.")
    parser.epilog = _EXIT_CODES
    default = os.environ.get(ENVIRONMENT, "127.0.0.1:7000")
    parser.add_argument("--platform", default=default, help=f"IP:PORT, or ${ENVIRONMENT}")
    parser.add_argument("--json", action="store_true", help="answer in JSON")
    commands = parser.add_subparsers(dest="command", required=True)

    validate = _add(commands, "validate", "check files without writing", Commands.validate)
    validate.add_argument("files", type=Path, nargs="+")

    apply = _add(commands, "apply", "write files as desired settings", Commands.apply)
    apply.add_argument("files", type=Path, nargs="+")
    apply.add_argument("--base", type=Path, help="the file that was edited, to merge by")

    get = _add(commands, "get", "show an object, or all names", Commands.get)
    get.add_argument("name", nargs="?", help="root or team/NAME")
    get.add_argument("--effective", metavar="SERVICE/CLASS", help="values and their levels")

    diff = _add(commands, "diff", "show what applying a file would change", Commands.diff)
    diff.add_argument("file", type=Path)

    put = _add(commands, "set", "set one value by its path", Commands.put)
    put.add_argument("name", help="root or team/NAME")
    put.add_argument("path", help="such as services.rsvp.classes.answer.policy.tier")
    put.add_argument("value", help="in YAML")

    unset = _add(commands, "unset", "remove one value by its path", Commands.unset)
    unset.add_argument("name", help="root or team/NAME")
    unset.add_argument("path")

    status = _add(commands, "status", "what is accepted and where it is in force", Commands.status)
    status.add_argument("--watch", action="store_true", help="show again when it changes")

    explain = _add(commands, "explain", "tell what happened to a request", Commands.explain)
    explain.add_argument("request")
    explain.add_argument("--entry", action="append", required=True, help="status IP:PORT")
    return parser


def _add(commands: Any, name: str, text: str, run: Callable[..., Any]) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=text, epilog=_EXIT_CODES)
    parser.set_defaults(run=run)
    return parser


if TYPE_CHECKING:
    from lotushill.console.operator_commands import Result

if __name__ == "__main__":
    main()
