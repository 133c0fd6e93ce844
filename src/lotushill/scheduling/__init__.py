"""Who places requests for whom, and how what runs becomes known to those who place."""

from __future__ import annotations
