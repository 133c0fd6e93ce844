"""Tests of lotushill.gateway."""

from __future__ import annotations
