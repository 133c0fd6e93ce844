"""Tests of `lotushill.dispatch`."""

from __future__ import annotations
