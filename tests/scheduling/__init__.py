"""Tests of who places for whom."""

from __future__ import annotations
