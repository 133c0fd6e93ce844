"""Tests of `lotushill.callers`."""

from __future__ import annotations
