"""Request path: receives client requests, sends them to upstreams and relays the answers."""

from __future__ import annotations
