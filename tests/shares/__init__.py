"""Tests of lotushill.shares."""

from __future__ import annotations
