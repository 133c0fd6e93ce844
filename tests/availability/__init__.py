"""Tests of lotushill.availability."""

from __future__ import annotations
