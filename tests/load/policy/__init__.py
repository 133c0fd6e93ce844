"""Tests of the emulator and of decisions that it replays."""

from __future__ import annotations
