"""Tests of `lotushill.contracts`."""

from __future__ import annotations
