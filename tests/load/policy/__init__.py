"""Tests of the engine emulator and of the placement decisions that it replays."""

from __future__ import annotations
