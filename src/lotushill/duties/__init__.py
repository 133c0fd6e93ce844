"""Work that one gateway does for the whole fleet: reports of usage, and orders of engines."""

from __future__ import annotations
