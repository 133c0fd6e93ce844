"""Tests of lotushill.process."""

from __future__ import annotations
