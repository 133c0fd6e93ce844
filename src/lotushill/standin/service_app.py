"""Stand-in of an instance of a plain service."""

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
    """Answers each request after a fixed time, for a limited number of requests at a time."""

    def __init__(self, name: str, slots: int, seconds: float) -> None:
        """Create an instance that runs `slots` requests at a time, each for `seconds`."""
        super().__init__(name)
        self._slots = asyncio.Semaphore(slots)
        self._request_seconds = seconds

    async def run(self, headers: dict[str, str], body: bytes, send: Send) -> None:
        """Serve one request."""
        async with self._slots:
            await asyncio.sleep(self._request_seconds)
        if self.fault is Fault.HANG:
            await asyncio.Event().wait()
        request = headers[names.REQUEST_ID]
        status = 500 if self.fault is Fault.ERRORS else 200
        await send_response(send, status, self.answer_headers(request), f"done {request}".encode())
