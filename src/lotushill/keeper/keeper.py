"""The keeper: holds the accept lease when it can, and does the duty that comes with it."""

from __future__ import annotations

import logging
import random
import time
from typing import TYPE_CHECKING

import anyio

from lotushill.keeper.acceptor import Acceptor
from lotushill.keeper.lease import Lease
from lotushill.keeper.sweeper import Sweeper
from lotushill.objectapi.exceptions import PlatformError

if TYPE_CHECKING:
    from lotushill.objectapi.objects import ObjectApi

log = logging.getLogger("keeper")

_REFRESH_SECONDS = 1.0
_STANDBY_SECONDS = 4.0
"""Standbys look seldom: there is one on every host, and each look is a call of the object API."""
_WATCH_SECONDS = 5.0
_PAUSE_SECONDS = 0.5
_SWEEP_SECONDS = 10.0


class Keeper:
    """One keeper process's duties."""

    def __init__(self, name: str, objects: ObjectApi) -> None:
        self.lease = Lease("accept", name, objects, time.monotonic)
        self._acceptor = Acceptor(objects, self.lease)
        self._sweeper = Sweeper(objects)

    async def run(self) -> None:
        """Do the duty for ever."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._keep_lease)
            group.start_soon(self._sweep)
            await self._accept()

    async def _keep_lease(self) -> None:
        held = False
        try:
            while True:
                now_held = await self.lease.refresh()
                if now_held != held:
                    held = now_held
                    log.info("Lease changed. held=%s token=%d", held, self.lease.token)
                pause = _REFRESH_SECONDS if held else _STANDBY_SECONDS
                await anyio.sleep(pause * random.uniform(0.8, 1.2))
        finally:
            with anyio.CancelScope(shield=True), anyio.move_on_after(_PAUSE_SECONDS):
                await self.lease.release()

    async def _accept(self) -> None:
        while True:
            if not self.lease.held():
                await anyio.sleep(_PAUSE_SECONDS / 5)
                continue
            try:
                await self._serve_term()
            except PlatformError as error:
                log.info("Could not accept. error=%r", error)
                await anyio.sleep(_PAUSE_SECONDS)

    async def _sweep(self) -> None:
        while True:
            await anyio.sleep(_SWEEP_SECONDS)
            if not self.lease.held():
                continue
            try:
                await self._sweeper.sweep(time.time())
            except PlatformError as error:
                log.info("Could not sweep. error=%r", error)

    async def _serve_term(self) -> None:
        await self._acceptor.start()
        await self._acceptor.accept()
        while self.lease.held():
            if await self._acceptor.follow(_WATCH_SECONDS):
                await self._acceptor.accept()
