"""Decisions of a gateway between its start and the time when it knows its fleet."""

from __future__ import annotations
