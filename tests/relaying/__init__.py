"""Tests of lotushill.relaying."""

from __future__ import annotations
