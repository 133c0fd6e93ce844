"""A fleet of real gateways under overlapping faults, and what must hold through them."""

from __future__ import annotations
