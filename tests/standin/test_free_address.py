"""Addresses stay free until their program listens.

The failure: a port was drawn from the range for outgoing connections, and one of them took it
before the program bound it.
"""

from __future__ import annotations

import socket
import unittest
from pathlib import Path

from lotushill.standin.free_address import free_address

_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")


class TestFreeAddress(unittest.TestCase):
    def test_no_outgoing_connection_takes_the_port(self) -> None:
        first = int(_RANGE.read_text(encoding="ascii").split()[0]) if _RANGE.exists() else 32_768
        ports = [int(free_address().partition(":")[2]) for _ in range(20)]
        self.assertLess(max(ports), first)

    def test_it_can_be_bound_and_is_kept_from_others(self) -> None:
        host, _, port = free_address().partition(":")
        with socket.create_server((host, int(port))):
            pass
        with self.assertRaises(OSError):
            socket.create_server(("127.0.0.2", int(port)))
