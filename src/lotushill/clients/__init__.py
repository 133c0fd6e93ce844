"""What one process holds for its clients, bounded as a whole: memory and connections."""

from __future__ import annotations
