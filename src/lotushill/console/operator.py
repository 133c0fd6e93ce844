"""The program `lotushill`: edits the settings tree and shows the status of the fleet."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.console.fleet_commands import FleetCommands
from lotushill.console.program import new_parser
from lotushill.console.quarantine_commands import QuarantineCommands
from lotushill.console.settings_commands import SettingsCommands
from lotushill.contracts.exceptions import EditConflictError
from lotushill.contracts.exceptions import EditRetriesExhaustedError
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.exceptions import UnknownOutcomeError
from lotushill.contracts.exceptions import UnknownPathError
from lotushill.platform.object_store import ObjectStore
from lotushill.process.exit_status import EXIT_BAD_SETTINGS
from lotushill.process.exit_status import EXIT_CONFLICT
from lotushill.process.exit_status import EXIT_FAILED
from lotushill.process.exit_status import EXIT_UNAVAILABLE
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.console.result import Result

    Command = Callable[[ObjectStore, argparse.Namespace], Awaitable[Result]]

STORE_VARIABLE = "LOTUSHILL_STORE"
_DEFAULT_STORE = "127.0.0.1:7000"
_EXIT_CODES = """exit codes: 0 success; 1 not found, not done, or not in force at all gateways;
2 invalid settings or arguments; 3 conflict with a concurrent edit; 4 the platform's store does not
answer, or the effect is unknown"""


def main(arguments: list[str] | None = None) -> None:
    """Run one command."""
    options = _parser().parse_args(arguments)
    sys.exit(run(options))


def run(options: argparse.Namespace) -> int:
    """Run one command and return its exit code; print failures on standard error."""
    try:
        result: Result = anyio.run(options.run, ObjectStore(options.store), options)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    except UnknownPathError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    except EditConflictError as error:
        for clash in error.conflicts:
            print(f"{error.name}: conflict at {clash}", file=sys.stderr)
        return EXIT_CONFLICT
    except EditRetriesExhaustedError as error:
        print(error, file=sys.stderr)
        return EXIT_CONFLICT
    except (StoreError, UnknownOutcomeError) as error:
        print(f"store: {error}", file=sys.stderr)
        return EXIT_UNAVAILABLE
    print(json.dumps(result.value, indent=2) if options.json else result.text)
    return result.code


def _parser() -> argparse.ArgumentParser:
    parser = new_parser("lotushill", "Edit the settings tree and show the status of the fleet.")
    parser.epilog = _EXIT_CODES
    default = os.environ.get(STORE_VARIABLE, _DEFAULT_STORE)
    parser.add_argument(
        "--store", default=default, help=f"the platform's store as IP:PORT, or ${STORE_VARIABLE}"
    )
    parser.add_argument("--json", action="store_true", help="print the result as JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_settings(commands)
    _add_fleet(commands)
    return parser


def _add_settings(commands: Any) -> None:
    validate = _add_command(
        commands, "validate", "check files without writing", _settings("validate")
    )
    validate.add_argument("files", type=Path, nargs="+")

    apply = _add_command(commands, "apply", "write files as settings", _settings("apply"))
    apply.add_argument("files", type=Path, nargs="+")
    apply.add_argument(
        "--base", type=Path, help="the file as it was before the edit, base of a three-way merge"
    )

    get = _add_command(commands, "get", "show an object, or all names", _settings("get"))
    get.add_argument("name", nargs="?", help="root or team/NAME")
    get.add_argument(
        "--effective",
        metavar="SERVICE/CLASS",
        help="show the values in force and the levels that set them",
    )

    diff = _add_command(
        commands, "diff", "show what applying a file would change", _settings("diff")
    )
    diff.add_argument("file", type=Path)

    put = _add_command(commands, "set", "set one value by its path", _settings("put"))
    put.add_argument("name", help="root or team/NAME")
    put.add_argument("path", help="for example services.rsvp.classes.answer.policy.tier")
    put.add_argument("value", help="new value in YAML")

    unset = _add_command(commands, "unset", "remove one value by its path", _settings("unset"))
    unset.add_argument("name", help="root or team/NAME")
    unset.add_argument("path")


def _add_fleet(commands: Any) -> None:
    status = _add_command(
        commands, "status", "show what is in force at each gateway", _fleet("status")
    )
    status.add_argument(
        "--watch", action="store_true", help="print the status again whenever it changes"
    )

    explain = _add_command(
        commands, "explain", "show what happened to a request", _fleet("explain")
    )
    explain.add_argument("request")

    _add_command(
        commands, "held", "list held requests, which are sent to no upstream", _quarantine("held")
    )

    release = _add_command(commands, "release", "release a held request", _quarantine("release"))
    release.add_argument("identity", help="identity as listed by `held`, or a prefix of it")


def _settings(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        result: Awaitable[Result] = getattr(SettingsCommands(store), name)(options)
        return result

    return start


def _fleet(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        result: Awaitable[Result] = getattr(FleetCommands(store), name)(options)
        return result

    return start


def _quarantine(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        result: Awaitable[Result] = getattr(QuarantineCommands(store), name)(options)
        return result

    return start


def _add_command(commands: Any, name: str, text: str, run: Command) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=text, epilog=_EXIT_CODES)
    parser.set_defaults(run=run)
    return parser


if __name__ == "__main__":
    main()
