"""Tests of `lotushill.keeper`."""

from __future__ import annotations
