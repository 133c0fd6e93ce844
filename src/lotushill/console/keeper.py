"""The program `lotushill-keeper`."""

from __future__ import annotations

import signal

import anyio

from lotushill.console.program import parse_config_option
from lotushill.console.program import read_settings
from lotushill.console.program import run
from lotushill.console.program import start_logs
from lotushill.hosts.settings import KeeperSettings
from lotushill.keeper.keeper import Keeper
from lotushill.links.asgi import Receive
from lotushill.links.asgi import Scope
from lotushill.links.asgi import Send
from lotushill.links.asgi import send_json
from lotushill.links.http_server import HttpServer
from lotushill.objectapi.http_platform import HttpPlatform


def main() -> None:
    """Run one keeper."""
    path = parse_config_option("lotushill-keeper", "Do duties under a lease on one host.")
    settings = read_settings(KeeperSettings, path)
    start_logs(settings.log_level)
    run(_serve, settings)


async def _serve(settings: KeeperSettings) -> None:
    keeper = Keeper(settings.name, HttpPlatform(f"http://{settings.platform}"))

    async def status(scope: Scope, receive: Receive, send: Send) -> None:
        body = {"live": True, "ready": True, "leader": keeper.lease.held()}
        await send_json(send, 200, body)

    server = HttpServer(status, settings.status)
    async with anyio.create_task_group() as group:
        group.start_soon(keeper.run)
        group.start_soon(server.serve)
        with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                break
        group.cancel_scope.cancel()


if __name__ == "__main__":
    main()
