"""Tests of lotushill.placement."""

from __future__ import annotations
