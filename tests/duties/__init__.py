"""Tests of lotushill.duties."""

from __future__ import annotations
