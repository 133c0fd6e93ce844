"""One status object per hall: how many members have which generation in force."""

from __future__ import annotations

import json
import logging
import time
from collections import Counter
from typing import TYPE_CHECKING

import anyio

from lotushill.hosts.rendezvous import owner
from lotushill.objectapi.exceptions import PlatformError
from lotushill.objectapi.objects import ABSENT

if TYPE_CHECKING:
    from lotushill.hosts.membership import Membership
    from lotushill.objectapi.objects import ObjectApi

log = logging.getLogger("status")

PREFIX = "status/hall/"
_WRITE_SECONDS = 3.0
_REFRESH_SECONDS = 60.0


class HallStatus:
    """Written by one member of each hall, and only when something changed."""

    def __init__(self, membership: Membership, objects: ObjectApi) -> None:
        self._membership = membership
        self._objects = objects
        self._written: dict[str, object] = {}
        self._written_at = float("-inf")

    async def run(self) -> None:
        """Write for ever, while this member is the one to do it."""
        while True:
            await anyio.sleep(_WRITE_SECONDS)
            if not self._is_writer():
                continue
            try:
                await self._write(time.monotonic())
            except PlatformError as error:
                log.info("Could not write. error=%r", error)

    def summary(self) -> dict[str, object]:
        """Return the figures of the own hall."""
        near = [item for item in self._membership.live() if item.hall == self._membership.own.hall]
        generations = Counter(str(item.generation) for item in near)
        return {"members": sorted(item.name for item in near), "generations": dict(generations)}

    def _is_writer(self) -> bool:
        own = self._membership.own
        near = [item.name for item in self._membership.live() if item.hall == own.hall]
        return owner(f"status/{own.hall}", near) == own.name

    async def _write(self, now: float) -> None:
        summary = self.summary()
        if summary == self._written and now - self._written_at < _REFRESH_SECONDS:
            return
        key = PREFIX + self._membership.own.hall
        found = await self._objects.get(key)
        text = json.dumps(summary | {"at": time.time()})
        await self._objects.put(key, text, found.version if found else ABSENT)
        self._written, self._written_at = summary, now
