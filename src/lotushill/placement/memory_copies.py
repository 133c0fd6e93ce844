"""Copies of engine memory requested by one attempt."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class MemoryCopies:
    """Copies of engine memory requested by one attempt; engines are identified by address."""

    fetch_from: str = ""
    """Engine to copy cached prompt parts from."""
    backup_to: str = ""
    """Engine that is to hold a copy of the run's memory as it grows."""
    resume_from: str = ""
    """Engine that holds such a copy, from which the run resumes, or that issued the handle."""
    run: str = ""
    """Id of the request whose run resumes, or the handle of its memory."""

    @property
    def memory_label(self) -> str:
        """Return the identifier of the memory from which the run resumes, empty for none."""
        return f"{self.resume_from}/{self.run}" if self.resume_from else ""


NO_COPIES = MemoryCopies()
