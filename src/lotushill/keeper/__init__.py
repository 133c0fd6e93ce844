"""Duties held under a lease: accepting settings, orders to engines, status."""

from __future__ import annotations
