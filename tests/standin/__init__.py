"""Tests of `lotushill.standin`."""

from __future__ import annotations
