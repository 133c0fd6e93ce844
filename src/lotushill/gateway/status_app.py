"""ASGI application on the readiness address: readiness, status, metrics and request events."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.event_log import shorten
from lotushill.links.asgi import send_json
from lotushill.links.asgi import send_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.journal import Journal
    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send

EXPLAIN_PATH = "/explain/"
STATUS_PATH = "/status"
_READY_PATH = "/readyz"
_METRICS_PATH = "/metrics"
_METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4; charset=utf-8")
_OK = 200
_NOT_FOUND = 404
_NOT_READY = 503


class StatusApp:
    """Answers `/readyz`, `/status`, `/metrics` and `/explain/REQUEST`."""

    def __init__(
        self,
        is_ready: Callable[[], bool],
        status: Callable[[], dict[str, object]],
        metrics: Callable[[], bytes],
        journal: Journal,
    ) -> None:
        self._is_ready = is_ready
        self._status = status
        self._metrics = metrics
        self._journal = journal

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one HTTP request."""
        path = str(scope["path"])
        if path == _READY_PATH:
            await send_response(send, _OK if self._is_ready() else _NOT_READY, (), b"")
        elif path == STATUS_PATH:
            await send_json(send, _OK, self._status())
        elif path == _METRICS_PATH:
            await send_response(send, _OK, (_METRICS_TYPE,), self._metrics())
        elif path.startswith(EXPLAIN_PATH):
            events = self._journal.events_of(shorten(path.removeprefix(EXPLAIN_PATH)))
            await send_json(send, _OK if events else _NOT_FOUND, events)
        else:
            await send_json(send, _NOT_FOUND, {})
