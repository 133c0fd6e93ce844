"""Tests of lotushill.limits."""

from __future__ import annotations
