"""The stand-in of an instance of a plain service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.links.asgi import send_response
from lotushill.platform import names
from lotushill.standin.upstream_app import Fault
from lotushill.standin.upstream_app import UpstreamApp

if TYPE_CHECKING:
    from lotushill.links.asgi import Send


class ServiceApp(UpstreamApp):
    """Works for a while on each request, on so many at a time, and answers."""

    def __init__(self, name: str, slots: int, seconds: float) -> None:
        """Make an instance with `slots` places, each request taking so many seconds."""
        super().__init__(name)
        self._places = asyncio.Semaphore(slots)
        self._seconds = seconds

    async def run(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        """Serve one request."""
        async with self._places:
            await asyncio.sleep(self._seconds)
        if self.fault is Fault.HANG:
            await asyncio.Event().wait()
        request = headers[names.REQUEST_ID]
        status = 500 if self.fault is Fault.ERRORS else 200
        await send_response(send, status, self.answer_headers(request), f"done {request}".encode())
