"""Connections and codecs between processes."""

from __future__ import annotations
