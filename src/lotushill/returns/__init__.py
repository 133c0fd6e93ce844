"""Who was refused and told when to come back, and what they get when they do."""

from __future__ import annotations
