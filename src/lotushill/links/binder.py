"""Binds the addresses of a process, and waits for those that are taken or not there yet."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

import anyio

from lotushill import clock as clocks
from lotushill.links.address import split_address

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from lotushill.event_log import EventLog

_FIRST_PAUSE_SECONDS = 0.05
_MAX_PAUSE_SECONDS = 1.0
_LOG_INTERVAL_SECONDS = 10.0
"""Interval between two log lines on one address that stays unavailable."""
_BACKLOG = 2048


def bind_tcp(address: str) -> socket.socket:
    """Return a socket that listens at an address (IP:PORT)."""
    return socket.create_server(split_address(address), backlog=_BACKLOG)


def bind_udp(address: str) -> socket.socket:
    """Return a socket that receives datagrams at an address (IP:PORT)."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(split_address(address))
    except OSError:
        sock.close()
        raise
    return sock


class Binder:
    """Binds addresses with retries.

    Another program, the former process of this gateway or an outgoing connection may hold an
    address for a while, and the address of a host may be set up after its programs start.
    """

    def __init__(
        self, log: EventLog, rng: random.Random, clock: Callable[[], float] = clocks.now
    ) -> None:
        self._log = log
        self._rng = rng
        self._clock = clock
        self.unavailable: set[str] = set()
        """Uses of the addresses that are being waited for."""

    async def bind(
        self, use: str, address: str, bind: Callable[[str], socket.socket] = bind_tcp
    ) -> socket.socket:
        """Return the socket that `bind` creates, as soon as the address is available.

        `use` tells operators what the address is for.
        """
        started_at = self._clock()
        pause, logged_at = _FIRST_PAUSE_SECONDS, float("-inf")
        try:
            while True:
                try:
                    sock = bind(address)
                    break
                except OSError as error:
                    self.unavailable.add(use)
                    if self._clock() - logged_at >= _LOG_INTERVAL_SECONDS:
                        logged_at = self._clock()
                        self._note("address.unavailable", use, address, started_at, error)
                await anyio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(_MAX_PAUSE_SECONDS, 2 * pause)
            if use in self.unavailable:
                self._note("address.bound", use, address, started_at)
            return sock
        finally:
            self.unavailable.discard(use)

    def _note(
        self, event: str, use: str, address: str, started_at: float, error: OSError | None = None
    ) -> None:
        waited = round(self._clock() - started_at, 3)
        fields = {"error": str(error)} if error is not None else {}
        self._log.note(event, use=use, address=address, waited_seconds=waited, **fields)
