"""Command-line programs: argument parsing, commands and process setup."""

from __future__ import annotations
