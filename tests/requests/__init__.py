"""Tests of lotushill.requests."""

from __future__ import annotations
