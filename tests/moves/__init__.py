"""Tests of lotushill.moves."""

from __future__ import annotations
