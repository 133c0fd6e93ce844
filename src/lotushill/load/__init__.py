"""Load and experiments."""

from __future__ import annotations
