"""Tests of lotushill.platform."""

from __future__ import annotations
