"""Tests of lotushill.views."""

from __future__ import annotations
