"""The decisions of placement before emulated engines, in virtual time."""

from __future__ import annotations
