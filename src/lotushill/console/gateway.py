"""The program `lotushill-gateway`: runs one gateway process."""

from __future__ import annotations

import gc
import os
from pathlib import Path
from typing import TYPE_CHECKING

from lotushill.console.process_signals import ProcessSignals

if TYPE_CHECKING:
    from collections.abc import Sequence

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
    from lotushill.console.program import read_or_exit
    from lotushill.console.program import run
    from lotushill.process.settings_file import read_settings

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
    run(_serve, read_or_exit(read_settings, Path(path)), Path(path), signals)


async def _serve(settings: GatewaySettings, path: Path, signals: ProcessSignals) -> None:
    from lotushill.gateway.gateway import Gateway
    from lotushill.process.settings_file import read_settings

    gateway = Gateway(settings, lambda: read_settings(path))
    gc.freeze()
    gc.enable()
    await gateway.run(lambda: signals.is_reload_requested)
    signals.ignore()


if __name__ == "__main__":
    main()
