"""Tests of `lotushill.objectapi`."""

from __future__ import annotations
