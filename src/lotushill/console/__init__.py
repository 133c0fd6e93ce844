"""The console layer: argument parsing for each program."""

from __future__ import annotations
