"""Tests of `lotushill.upstreams`."""

from __future__ import annotations
