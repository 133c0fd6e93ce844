"""The program `lotushill-gateway`: runs one gateway process.

It ends only on a stop signal or on unusable settings; its last log line says why. Exceptions of a
running gateway are handled by `lotushill.process.supervisor`.
"""

from __future__ import annotations

import gc
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING

from lotushill.console.process_signals import ProcessSignals
from lotushill.process.exit_status import EXIT_BAD_SETTINGS
from lotushill.process.exit_status import EXIT_FAULT
from lotushill.process.exit_status import EXIT_OK
from lotushill.process.exit_status import PROCESS_STOPPED

if TYPE_CHECKING:
    from collections.abc import Sequence
    from signal import Signals

    from lotushill.event_log import EventLog
    from lotushill.process.settings import GatewaySettings

CONFIG_VARIABLE = "LOTUSHILL_NODE_FILE"
"""Environment variable that names the settings file if `--config` is not given."""


def main(arguments: Sequence[str] | None = None) -> None:
    """Run one gateway process."""
    signals = ProcessSignals()
    signals.install()
    # Imports create many objects and no garbage: with garbage collection disabled they take a
    # tenth less time, which matters when all hosts restart at once. The imported objects are never
    # freed, so they are frozen once the gateway has been created.
    gc.disable()
    from lotushill.console.program import configure_logging
    from lotushill.console.program import new_parser
    from lotushill.console.program import run

    parser = new_parser("lotushill-gateway", "Route requests on one host.")
    parser.add_argument(
        "--config",
        type=Path,
        default=os.environ.get(CONFIG_VARIABLE),
        help=f"settings file (YAML); default: ${CONFIG_VARIABLE}",
    )
    path = parser.parse_args(arguments).config
    if path is None:
        parser.error(f"--config or ${CONFIG_VARIABLE} is required")
    configure_logging("INFO")
    settings = _read_or_exit(Path(path))
    try:
        log, stop_signal = run(_serve, settings, Path(path), signals)
    except Exception as error:
        from lotushill.process.supervisor import trace_of

        _write_last_line(settings.name, "fault", EXIT_FAULT, trace=trace_of(error))
        raise SystemExit(EXIT_FAULT) from error
    # Requests that are cut off log their ends while the event loop is closed.
    log.note_last(PROCESS_STOPPED, why=stop_signal.name, status=EXIT_OK)


def _read_or_exit(path: Path) -> GatewaySettings:
    """Return the settings of a file; exit with all its faults if it is invalid."""
    from lotushill.contracts.exceptions import SettingsError
    from lotushill.process.settings_file import read_settings

    try:
        return read_settings(path)
    except SettingsError as error:
        faults = [str(fault) for fault in error.faults]
        for fault in faults:
            print(f"{error.source}: {fault}", file=sys.stderr)
        _write_last_line(
            os.uname().nodename,
            "unusable settings",
            EXIT_BAD_SETTINGS,
            file=str(path),
            faults=faults,
        )
        raise SystemExit(EXIT_BAD_SETTINGS) from error


def _write_last_line(name: str, why: str, status: int, **fields: object) -> None:
    from lotushill.event_log import EventLog

    EventLog(name).note_last(PROCESS_STOPPED, why=why, status=status, **fields)


async def _serve(
    settings: GatewaySettings, path: Path, signals: ProcessSignals
) -> tuple[EventLog, Signals]:
    """Run a gateway until it is told to stop; return its log and the signal that told it."""
    from lotushill.gateway.gateway import Gateway
    from lotushill.process.settings_file import read_settings

    gateway = Gateway(settings, lambda: read_settings(path))
    gc.freeze()
    gc.enable()
    stop_signal = await gateway.run(lambda: signals.is_reload_requested, signals.block)
    return gateway.log, stop_signal


if __name__ == "__main__":
    main()
