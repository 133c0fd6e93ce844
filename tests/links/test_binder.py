"""An address that is taken, or that its host does not have yet, is waited for."""

from __future__ import annotations

import errno
import json
import random
import socket
import unittest

import anyio

from lotushill.event_log import EventLog
from lotushill.links.binder import Binder
from tests.virtual_time import run_virtually


class TestBinder(unittest.TestCase):
    def setUp(self) -> None:
        self.lines: list[bytes] = []
        self.calls = 0

    def bind_after(self, seconds: float, error: int) -> Binder:
        """Bind an address that becomes available after some seconds; return the binder."""

        async def main() -> Binder:
            log = EventLog("gw", self.lines.append, anyio.current_time)
            binder = Binder(log, random.Random(1), anyio.current_time)
            available_at = anyio.current_time() + seconds

            def bind(address: str) -> socket.socket:
                self.calls += 1
                if anyio.current_time() < available_at:
                    raise OSError(error, errno.errorcode[error])
                return socket.socket()

            (await binder.bind("clients", "10.0.0.1:80", bind)).close()
            self.waited = anyio.current_time() - available_at
            return binder

        return run_virtually(main())

    def events(self) -> list[str]:
        return [json.loads(line)["event"] for line in self.lines]

    def test_a_free_address_is_bound_at_once(self) -> None:
        self.bind_after(0.0, errno.EADDRINUSE)
        self.assertEqual((1, []), (self.calls, self.events()))

    def test_an_address_is_bound_soon_after_it_is_available(self) -> None:
        for error in (errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EMFILE):
            self.lines.clear()
            binder = self.bind_after(3.0, error)
            self.assertLess(self.waited, 1.5)
            self.assertEqual(["address.unavailable", "address.bound"], self.events())
            self.assertEqual(set(), binder.unavailable)

    def test_a_long_wait_costs_few_calls_and_lines(self) -> None:
        self.bind_after(600.0, errno.EADDRINUSE)
        self.assertLess(self.calls, 1000)
        self.assertLess(len(self.events()), 65)
