"""The program `lotushill-entry`."""

from __future__ import annotations

from lotushill.console.program import parse_config_option
from lotushill.console.program import read_settings
from lotushill.console.program import run
from lotushill.console.program import start_logs
from lotushill.hosts.entry_host import EntryHost
from lotushill.hosts.settings import EntrySettings


def main() -> None:
    """Run one entry host."""
    path = parse_config_option("lotushill-entry", "Serve callers on one entry host.")
    settings = read_settings(EntrySettings, path)
    start_logs(settings.log_level)
    run(_serve, settings)


async def _serve(settings: EntrySettings) -> None:
    await EntryHost(settings).run()


if __name__ == "__main__":
    main()
