"""Common parts of the command-line programs: arguments, settings files, logging, exit codes."""

from __future__ import annotations

import argparse
import logging
import sys
from pathlib import Path
from typing import TYPE_CHECKING
from typing import TypeVar

import anyio

from lotushill import __version__
from lotushill.contracts.exceptions import SettingsError
from lotushill.process.exit_status import EXIT_BAD_SETTINGS

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

S = TypeVar("S")

_INCOMPLETE_RESPONSE_ERROR = "ASGI callable returned without completing response."
_LOG_FORMAT = "%(asctime)s %(name)s: %(message)s"


def new_parser(name: str, description: str) -> argparse.ArgumentParser:
    """Return a parser with the options common to all programs."""
    parser = argparse.ArgumentParser(prog=name, description=description)
    parser.add_argument("--version", action="version", version=f"{name} {__version__}")
    return parser


def read_or_exit(read: Callable[[Path], S], path: Path) -> S:
    """Return the settings of a file; exit with an error message if it is invalid."""
    try:
        return read(path)
    except SettingsError as error:
        for fault in error.faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error


def parse_config_option(name: str, description: str) -> Path:
    """Parse the arguments and return the path given by `--config`."""
    parser = new_parser(name, description)
    parser.add_argument("--config", type=Path, required=True, help="settings file (YAML)")
    path: Path = parser.parse_args().config
    return path


def _is_unexpected(record: logging.LogRecord) -> bool:
    """Return False for Uvicorn's error on an answer that is deliberately left incomplete."""
    return record.getMessage() != _INCOMPLETE_RESPONSE_ERROR


def configure_logging(level: str) -> None:
    """Send logs to standard error, each line with the name of its logger."""
    logging.basicConfig(level=level.upper(), format=_LOG_FORMAT, stream=sys.stderr)
    logging.getLogger("uvicorn.error").addFilter(_is_unexpected)
    logging.getLogger("uvicorn").setLevel(logging.ERROR)


def run(main: Callable[..., Awaitable[S]], *arguments: object) -> S:
    """Run an asynchronous main function in an event loop, and return what it returns."""
    return anyio.run(main, *arguments, backend="asyncio", backend_options={"use_uvloop": True})
