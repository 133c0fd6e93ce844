"""Which gateways are there: heartbeats, suspicion and loss, and who owns what by hashing."""

from __future__ import annotations
