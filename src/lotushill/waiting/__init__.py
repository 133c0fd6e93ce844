"""Admission queue: holds requests until an engine has a free slot, so they can be reordered."""

from __future__ import annotations
