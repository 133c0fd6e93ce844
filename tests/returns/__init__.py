"""Tests of lotushill.returns."""

from __future__ import annotations
