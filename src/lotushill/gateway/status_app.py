"""The ASGI application behind the readiness address: readiness, status and metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.asgi import send_json
from lotushill.links.asgi import send_whole

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

_OK = 200
_NOT_FOUND = 404
_NOT_READY = 503


class StatusApp:
    """Answers `/readyz` and `/status`."""

    def __init__(self, ready: Callable[[], bool], status: Callable[[], dict[str, object]]) -> None:
        self._ready = ready
        self._status = status

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one call."""
        path = str(scope["path"])
        if path == "/readyz":
            await send_whole(send, _OK if self._ready() else _NOT_READY, (), b"")
        elif path == "/status":
            await send_json(send, _OK, self._status())
        else:
            await send_json(send, _NOT_FOUND, {})
