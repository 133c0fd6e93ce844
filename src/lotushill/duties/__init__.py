"""Work that one gateway does for the whole fleet: usage reports and engine orders."""

from __future__ import annotations
