"""Tests of `lotushill.membership`."""

from __future__ import annotations
