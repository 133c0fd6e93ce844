"""The program `lotushill-standin`."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import anyio

from lotushill.console.program import parse_config_option
from lotushill.console.program import read_settings
from lotushill.console.program import run
from lotushill.console.program import start_logs
from lotushill.links.http_server import HttpServer
from lotushill.standin.engine_app import EngineApp
from lotushill.standin.engine_app import EngineOptions
from lotushill.standin.platform_app import PlatformApp
from lotushill.standin.service_app import ServiceApp
from lotushill.standin.settings import StandinSettings

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lotushill.links.asgi import App


def main() -> None:
    """Run one stand-in."""
    description = "Stand in for the platform, an engine or a plain service."
    settings = read_settings(StandinSettings, parse_config_option("lotushill-standin", description))
    start_logs("INFO")
    run(_serve, settings)


def _start_app(settings: StandinSettings, group: TaskGroup) -> App:
    if settings.kind == "platform":
        return PlatformApp()
    if settings.kind == "service":
        return ServiceApp(settings.name, settings.work)
    options = EngineOptions(settings.name, settings.slots, settings.step, settings.prefill_per_step)
    engine = EngineApp(options)
    group.start_soon(engine.run)
    return engine


async def _serve(settings: StandinSettings) -> None:
    async with anyio.create_task_group() as group:
        server = HttpServer(_start_app(settings, group), settings.address, lets_cut=True)
        group.start_soon(server.serve)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        server.abort()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    main()
