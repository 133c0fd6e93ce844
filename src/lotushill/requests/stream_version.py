"""Software version at which one stream began, and at which alone it may go on."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request


class StreamVersion:
    """Version of the upstream that brought the first event; empty while there is none."""

    def __init__(self, version: str, on_begun: Callable[[str], None] = lambda _: None) -> None:
        """Start with the version of a stream that the client takes up, empty for a new one.

        `on_begun` receives the version when the first event is about to be passed to the client.
        """
        self.value = version
        self._on_begun = on_begun
        self._has_begun = False

    def note_event(self, upstream: Upstream) -> None:
        """Record that an event of `upstream` is about to be passed to the client."""
        if self._has_begun:
            return
        self._has_begun = True
        self.value = self.value or upstream.version
        self._on_begun(self.value)

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether the stream may go on at an upstream."""
        return not self.value or upstream.version == self.value

    def bind(self, request: Request) -> Request:
        """Return the request, to be placed only at upstreams that the stream accepts."""
        if request.need.version == self.value:
            return request
        return replace(request, need=replace(request.need, version=self.value))
