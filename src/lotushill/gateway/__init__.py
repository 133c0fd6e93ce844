"""Assembly of one gateway process, and its status and metrics for operators."""

from __future__ import annotations
