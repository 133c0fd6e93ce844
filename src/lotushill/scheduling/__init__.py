"""Placement of requests by schedulers, and the exchange of load updates that it needs."""

from __future__ import annotations
