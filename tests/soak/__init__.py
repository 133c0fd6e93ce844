"""Soak test: a fleet of real gateways under overlapping faults, and the invariants it must keep."""

from __future__ import annotations
