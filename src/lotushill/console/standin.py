"""The program `lotushill-standin`: replaces the platform's store, an engine or a service."""

from __future__ import annotations

import asyncio
import functools
import signal
from typing import TYPE_CHECKING

import anyio

from lotushill.console.program import configure_logging
from lotushill.console.program import parse_config_option
from lotushill.console.program import read_or_exit
from lotushill.console.program import run
from lotushill.contracts.document import read
from lotushill.links.http_server import HttpServer
from lotushill.standin.engine_app import EngineApp
from lotushill.standin.metadata_app import MetadataApp
from lotushill.standin.metadata_store import MetadataStore
from lotushill.standin.registration import UpstreamEntry
from lotushill.standin.service_app import ServiceApp
from lotushill.standin.settings import StandinSettings

if TYPE_CHECKING:
    from anyio.abc import TaskGroup

    from lotushill.links.asgi import App

_LEAVE_PERIOD_SECONDS = 2.0
"""Time for which an upstream keeps serving after it has announced that it leaves."""


def main() -> None:
    """Run one stand-in process."""
    description = "Stand in for the platform's store, an engine or a plain service."
    path = parse_config_option("lotushill-standin", description)
    settings = read_or_exit(functools.partial(read, StandinSettings), path)
    configure_logging("INFO")
    run(_serve, settings)


def _start_app(settings: StandinSettings, group: TaskGroup) -> App:
    if settings.kind == "store":
        return MetadataApp(MetadataStore())
    if settings.kind == "service":
        return ServiceApp(settings.name, settings.slots, settings.work)
    engine = EngineApp(settings)
    group.start_soon(engine.run_steps)
    return engine


async def _serve(settings: StandinSettings) -> None:
    async with anyio.create_task_group() as group:
        server = HttpServer(_start_app(settings, group), settings.address)
        group.start_soon(server.serve)
        entry = UpstreamEntry(settings) if settings.store is not None else None
        heartbeats = asyncio.create_task(entry.run_heartbeats()) if entry is not None else None
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        if entry is not None and heartbeats is not None:
            heartbeats.cancel()
            await entry.mark_draining()
            await anyio.sleep(_LEAVE_PERIOD_SECONDS)
            await entry.remove()
        server.abort()
        group.cancel_scope.cancel()


if __name__ == "__main__":
    main()
