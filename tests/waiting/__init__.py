"""Tests of lotushill.waiting."""

from __future__ import annotations
