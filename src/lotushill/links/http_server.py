"""An HTTP server for a program that runs its own event loop and handles signals itself."""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

import anyio
import uvicorn

from lotushill.links.binder import bind_tcp

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from lotushill.links.asgi import App
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

ABORT_KEY = "lotushill.cut"
"""Key of an ASGI scope under which the function that aborts its connection is stored."""
SOCKET_BUFFER_BYTES = 64 * 1024
"""Bytes that the system keeps at most in each direction of a connection whose buffers are bounded:
enough for 32 MB a second at a round trip of 2 ms."""
_KEEP_ALIVE_SECONDS = 75


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signal handling to the program."""

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class HttpServer:
    """Serves an application on one listening address."""

    def __init__(
        self,
        app: App,
        address: str,
        allow_abort: bool = False,
        protocol: Callable[..., asyncio.Protocol] | None = None,
        bind: Callable[[str], Awaitable[socket.socket]] | None = None,
        bounds_buffers: bool = False,
    ) -> None:
        """Bind the address, with `bind` when serving starts and otherwise at once.

        With `allow_abort` the application may abort its connections; with `bounds_buffers` the
        system keeps no more than SOCKET_BUFFER_BYTES in each direction of a connection.
        """
        self.address = address
        self._bounds_buffers = bounds_buffers
        self._bind = bind
        self._socket: socket.socket | None = None
        if bind is None:
            self._set_socket(bind_tcp(address))
        config = uvicorn.Config(
            self._with_abort(app) if allow_abort else app,
            interface="asgi3",
            http=protocol or "httptools",  # type: ignore[arg-type]
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=_KEEP_ALIVE_SECONDS,
        )
        self._server = _QuietServer(config)

    @property
    def is_bound(self) -> bool:
        """Return whether clients can connect to the address."""
        return self._socket is not None

    async def serve(self) -> None:
        """Serve until stopped; every response in progress is finished first.

        After an exception the address is no longer bound, and this may be called again.
        """
        if self._socket is None:
            self._set_socket(
                await self._bind(self.address) if self._bind else bind_tcp(self.address)
            )
        assert self._socket is not None
        try:
            await self._server.serve(sockets=[self._socket])
        except Exception:
            self._close_listeners()
            raise

    def _set_socket(self, sock: socket.socket) -> None:
        self._socket = sock
        if self._bounds_buffers:
            # Connections inherit the sizes of their listener.
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        host, port = sock.getsockname()[:2]
        self.address = f"{host}:{port}"

    def _close_listeners(self) -> None:
        for server in getattr(self._server, "servers", ()):
            server.close()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def stop(self) -> None:
        """Accept no more connections, and end `serve` when all responses are finished."""
        self._server.should_exit = True

    def connections(self) -> int:
        """Return the number of open connections; one closes when its responses are written."""
        return len(self._server.server_state.connections)

    def set_idle_seconds(self, seconds: float) -> None:
        """Set the idle timeout of connections, including those that are open already."""
        self._server.config.timeout_keep_alive = int(seconds)
        for connection in self._server.server_state.connections:
            connection.timeout_keep_alive = int(seconds)  # type: ignore[union-attr]

    def abort(self) -> None:
        """End `serve` without waiting for responses in progress."""
        self._server.force_exit = True
        self._server.should_exit = True

    async def wait_started(self) -> None:
        """Wait until the server accepts connections."""
        while not self._server.started:
            await anyio.sleep(0.005)

    def _with_abort(self, app: App) -> App:
        async def serve(scope: Scope, receive: Receive, send: Send) -> None:
            scope[ABORT_KEY] = lambda: self._abort_connection(scope)
            await app(scope, receive, send)

        return serve

    def _abort_connection(self, scope: Scope) -> None:
        for connection in list(self._server.server_state.connections):
            if getattr(connection, "scope", None) is scope:
                connection.transport.abort()
