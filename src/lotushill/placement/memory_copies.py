"""Copies of engine memory that one attempt asks for."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MemoryCopies:
    """Copies of engine memory that one attempt asks for; engines are told by their addresses."""

    fetch_from: str = ""
    """Engine to take kept prompt parts from."""
    backup_to: str = ""
    """Engine that is to hold a copy of the run's memory as it grows."""
    resume_from: str = ""
    """Engine that holds such a copy, from which the run goes on, or that gave the handle."""
    run: str = ""
    """Id of the request whose run goes on, or the handle of its memory."""

    @property
    def memory_label(self) -> str:
        """Return what names the memory that the run goes on from, empty for none."""
        return f"{self.resume_from}/{self.run}" if self.resume_from else ""


NO_COPIES = MemoryCopies()
