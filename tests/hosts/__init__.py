"""Tests of `lotushill.hosts`."""

from __future__ import annotations
