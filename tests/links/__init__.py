"""Tests of `lotushill.links`."""

from __future__ import annotations
