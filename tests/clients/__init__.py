"""Clients outside the limits, or crowds of clients inside them, at the real program."""

from __future__ import annotations
