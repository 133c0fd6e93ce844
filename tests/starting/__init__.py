"""Tests of lotushill.starting."""

from __future__ import annotations
