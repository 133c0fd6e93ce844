"""Tests of lotushill.load.limits."""

from __future__ import annotations
