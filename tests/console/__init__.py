"""Tests of `lotushill.console`."""

from __future__ import annotations
