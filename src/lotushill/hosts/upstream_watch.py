"""What the dispatcher learns of upstreams by itself: the host list and their health answers."""

from __future__ import annotations

import json
import logging
from typing import TYPE_CHECKING

import anyio
import httpcore

from lotushill.dispatch.dispatcher import cell_name
from lotushill.objectapi.exceptions import UnavailableError
from lotushill.objectapi.http_platform import host_from_plain
from lotushill.objectapi.http_platform import host_to_plain
from lotushill.objectapi.objects import HostState

if TYPE_CHECKING:
    import random

    from lotushill.dispatch.dispatcher import Dispatcher
    from lotushill.dispatch.fallback import Fallback
    from lotushill.objectapi.objects import HostList
    from lotushill.objectapi.objects import HostRecord

log = logging.getLogger("upstreams")

_OWNER_SECONDS = 1.0
_OTHER_SECONDS = 2.5
"""Others read it as well, since any of them may have to decide at any moment."""
_FIRST_SECONDS = 0.3
_HEALTH_SECONDS = 1.0
_ANSWER_SECONDS = 0.5


class UpstreamWatch:
    """Keeps a dispatcher's upstreams up to date; an outage keeps what was last known."""

    def __init__(
        self,
        hosts: HostList,
        dispatcher: Dispatcher,
        fallback: Fallback,
        region: str,
        rng: random.Random,
    ) -> None:
        self._hosts = hosts
        self._dispatcher = dispatcher
        self._fallback = fallback
        self._region = region
        self._rng = rng
        self._pool = httpcore.AsyncConnectionPool(max_connections=256)
        self.records: tuple[HostRecord, ...] = ()
        self.known = False
        self._list_wanted = anyio.Event()
        self._health_wanted = anyio.Event()

    async def follow_list(self) -> None:
        """Read the host list for ever, often while this member decides for any cell."""
        while True:
            try:
                self._take(await self._hosts.hosts())
            except UnavailableError as error:
                log.info("Host list gives no answer. error=%r", error)
            pause = _OWNER_SECONDS if self._dispatcher.cells else _OTHER_SECONDS
            pause = (pause if self.known else _FIRST_SECONDS) * self._rng.uniform(0.8, 1.2)
            with anyio.move_on_after(pause):
                await self._list_wanted.wait()
            self._list_wanted = anyio.Event()

    def to_text(self) -> str:
        """Return the host list as last read, for a peer that starts in an outage."""
        return json.dumps([host_to_plain(item) for item in self.records]) if self.known else ""

    def learn(self, text: str) -> None:
        """Take a peer's host list, as long as nothing came from the platform itself."""
        if self.known or not text:
            return
        try:
            self._take(tuple(host_from_plain(item) for item in json.loads(text)))
        except (UnavailableError, ValueError, TypeError) as error:
            log.warning("Dropped a peer's host list. error=%r", error)

    def _take(self, records: tuple[HostRecord, ...]) -> None:
        self.records = records
        self.known = True
        self._dispatcher.set_upstreams(records)
        self._fallback.follow(records, self._cells())

    def _cells(self) -> dict[str, str]:
        """Return the cell of each upstream of the own region."""
        return {
            record.name: cell_name(record.pool, record.region)
            for record in self.records
            if record.pool and record.region == self._region
        }

    async def follow_health(self) -> None:
        """Ask the upstreams of this member's cells for their health, for ever."""
        while True:
            async with anyio.create_task_group() as group:
                for record in self._followed():
                    group.start_soon(self._ask, record)
            with anyio.move_on_after(_HEALTH_SECONDS):
                await self._health_wanted.wait()
            self._health_wanted = anyio.Event()

    def wake(self) -> None:
        """Read the list and ask for health at once: this member decides for another cell."""
        self._list_wanted.set()
        self._health_wanted.set()

    def _followed(self) -> list[HostRecord]:
        cells = self._dispatcher.cells
        return [
            record
            for record in self.records
            if record.pool
            and record.state is HostState.LIVE
            and cell_name(record.pool, record.region) in cells
        ]

    async def _ask(self, record: HostRecord) -> None:
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_SECONDS)
        try:
            response = await self._pool.request(
                "GET",
                f"http://{record.address}/health",
                headers={"host": record.address},
                extensions={"timeout": timeout},
            )
            leaving = json.loads(response.content)["state"] == "leaving"
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
            ValueError,
            KeyError,
            TypeError,
        ):
            # Whether it serves is told by the ends of attempts; silence here says little.
            return
        self._dispatcher.note_health(record.name, leaving)
