"""The server's side of a client connection: uvicorn's, with two facts that it keeps to itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

if TYPE_CHECKING:
    from collections.abc import Callable

TARGET = "lotushill.target"
"""Where a scope holds the request target as the client sent it, in bytes."""
CONNECTION = "lotushill.connection"
"""Where a scope holds its connection."""


class ClientProtocol(HttpToolsProtocol):
    """Tells the request path at once when its client has gone."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self.on_lost: Callable[[], None] | None = None
        """Called when the connection is gone."""

    def on_headers_complete(self) -> None:
        """Add the raw target and the connection to the scope."""
        scope: dict[str, Any] = self.scope  # type: ignore[assignment]
        scope[TARGET] = bytes(self.url)
        scope[CONNECTION] = self
        super().on_headers_complete()

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""
        super().connection_lost(exc)
        if self.on_lost is not None:
            self.on_lost()
