"""Adapter to the platform: its names, formats and calls. It makes no decisions."""

from __future__ import annotations
