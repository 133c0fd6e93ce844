"""The program `lotushill`: edits the settings tree and reads back status."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any

import anyio

from lotushill.console.fleet_commands import FleetCommands
from lotushill.console.program import EXIT_BAD_SETTINGS
from lotushill.console.program import EXIT_CONFLICT
from lotushill.console.program import EXIT_FAILED
from lotushill.console.program import EXIT_UNAVAILABLE
from lotushill.console.program import new_parser
from lotushill.console.quarantine_commands import QuarantineCommands
from lotushill.console.settings_commands import SettingsCommands
from lotushill.contracts.exceptions import EditConflictError
from lotushill.contracts.exceptions import EditRetriesExhaustedError
from lotushill.contracts.exceptions import SettingsError
from lotushill.contracts.exceptions import UnknownOutcomeError
from lotushill.contracts.exceptions import UnknownPathError
from lotushill.platform.object_store import ObjectStore
from lotushill.views.exceptions import StoreError

if TYPE_CHECKING:
    import argparse
    from collections.abc import Awaitable
    from collections.abc import Callable

    from lotushill.console.result import Result

    Command = Callable[[ObjectStore, argparse.Namespace], Awaitable[Result]]

ENVIRONMENT = "LOTUSHILL_STORE"
_DEFAULT_STORE = "127.0.0.1:7000"
_EXIT_CODES = """exit codes: 0 done; 1 not found, not done, or not in force everywhere;
2 settings or arguments at fault; 3 another edit got there first; 4 the platform's store gives no
answer, or the effect is not known"""


def main(arguments: list[str] | None = None) -> None:
    """Run one command."""
    options = _parser().parse_args(arguments)
    sys.exit(run(options))


def run(options: argparse.Namespace) -> int:
    """Run one command and return its exit code; failures are told on standard error."""
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
    parser = new_parser("lotushill", "Edit the settings tree and read back status.")
    parser.epilog = _EXIT_CODES
    default = os.environ.get(ENVIRONMENT, _DEFAULT_STORE)
    parser.add_argument(
        "--store", default=default, help=f"the platform's store as IP:PORT, or ${ENVIRONMENT}"
    )
    parser.add_argument("--json", action="store_true", help="answer in JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_settings(commands)
    _add_fleet(commands)
    return parser


def _add_settings(commands: Any) -> None:
    validate = _add(commands, "validate", "check files without writing", _settings("validate"))
    validate.add_argument("files", type=Path, nargs="+")

    apply = _add(commands, "apply", "write files as settings", _settings("apply"))
    apply.add_argument("files", type=Path, nargs="+")
    apply.add_argument("--base", type=Path, help="the file that was edited, to merge by")

    get = _add(commands, "get", "show an object, or all names", _settings("get"))
    get.add_argument("name", nargs="?", help="root or team/NAME")
    get.add_argument(
        "--effective", metavar="SERVICE/CLASS", help="the values in force and their levels"
    )

    diff = _add(commands, "diff", "show what applying a file would change", _settings("diff"))
    diff.add_argument("file", type=Path)

    put = _add(commands, "set", "set one value by its path", _settings("put"))
    put.add_argument("name", help="root or team/NAME")
    put.add_argument("path", help="such as services.rsvp.classes.answer.policy.tier")
    put.add_argument("value", help="in YAML")

    unset = _add(commands, "unset", "remove one value by its path", _settings("unset"))
    unset.add_argument("name", help="root or team/NAME")
    unset.add_argument("path")


def _add_fleet(commands: Any) -> None:
    status = _add(commands, "status", "what is in force at each gateway", _fleet("status"))
    status.add_argument("--watch", action="store_true", help="show again when it changes")

    explain = _add(commands, "explain", "tell what happened to a request", _fleet("explain"))
    explain.add_argument("request")

    _add(commands, "held", "list requests kept from upstreams", _quarantine("held"))

    release = _add(commands, "release", "let a held request go", _quarantine("release"))
    release.add_argument("identity", help="as listed by `held`, or how it begins")


def _settings(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        found: Awaitable[Result] = getattr(SettingsCommands(store), name)(options)
        return found

    return start


def _fleet(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        found: Awaitable[Result] = getattr(FleetCommands(store), name)(options)
        return found

    return start


def _quarantine(name: str) -> Command:
    def start(store: ObjectStore, options: argparse.Namespace) -> Awaitable[Result]:
        found: Awaitable[Result] = getattr(QuarantineCommands(store), name)(options)
        return found

    return start


def _add(commands: Any, name: str, text: str, run: Command) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(name, help=text, epilog=_EXIT_CODES)
    parser.set_defaults(run=run)
    return parser


if __name__ == "__main__":
    main()
