"""Software version at which one stream began, and at which alone it may go on."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.routing.route import Route
    from lotushill.routing.upstream import Upstream
    from lotushill.scheduling.request import Request


UNKNOWN_VERSION = "unknown version at "
"""Begin of the version of a stream that may go on nowhere; no upstream has such a version."""
_LIFETIME_FACTOR = 2.0
"""Longest life of a stream over all requests of its client, as a multiple of the time limit of one
of them: the last one may begin right before the client's own deadline."""


def stream_lifetime(route: Route) -> float:
    """Return the seconds for which a stream may be taken up after it has begun."""
    return _LIFETIME_FACTOR * route.timeout


class StreamVersion:
    """Version of the upstream that brought the first event; empty while there is none."""

    def __init__(self, version: str, on_begun: Callable[[str], None] = lambda _: None) -> None:
        """Start with the version of a stream that the client takes up, empty for a new one.

        `on_begun` receives the version when the first event is about to be passed to the client.
        """
        self.value = version
        self._on_begun = on_begun
        self.has_begun = False
        """Whether an event was passed to the client in this answer."""

    def note_event(self, upstream: Upstream, is_known: bool = True) -> None:
        """Record that an event of `upstream` is about to be passed to the client.

        With `is_known` False another version than the listed one may have sent it; then the stream
        can go on nowhere else.
        """
        if self.has_begun:
            return
        self.has_begun = True
        version = upstream.version if is_known else f"{UNKNOWN_VERSION}{upstream.id}"
        self.value = self.value or version
        self._on_begun(self.value)

    def accepts(self, upstream: Upstream) -> bool:
        """Return whether the stream may go on at an upstream."""
        return not self.value or upstream.version == self.value

    def bind(self, request: Request) -> Request:
        """Return the request, to be placed only at upstreams that the stream accepts."""
        if request.need.version == self.value:
            return request
        return replace(request, need=replace(request.need, version=self.value))
