"""Measurements: what each mechanism costs, as slopes for the capacity page."""

from __future__ import annotations
