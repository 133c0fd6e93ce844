"""Tests of lotushill.peering."""

from __future__ import annotations
