"""Connections, message types and codecs for communication between processes."""

from __future__ import annotations
