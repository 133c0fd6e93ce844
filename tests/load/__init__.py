"""Tests of `lotushill.load`."""

from __future__ import annotations
