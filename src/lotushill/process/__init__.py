"""What a gateway's process is made of beside its work: settings, figures, tasks, suspensions."""

from __future__ import annotations
