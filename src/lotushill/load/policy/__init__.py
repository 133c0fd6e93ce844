"""Replays placement decisions against emulated engines, in virtual time."""

from __future__ import annotations
