"""Tests of lotushill.routing."""

from __future__ import annotations
