"""Measures the cost of each mechanism, as slopes for the capacity page."""

from __future__ import annotations
