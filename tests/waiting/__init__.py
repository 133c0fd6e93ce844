"""Tests of requests that wait for room."""

from __future__ import annotations
