"""Tests of lotushill.quarantine."""

from __future__ import annotations
