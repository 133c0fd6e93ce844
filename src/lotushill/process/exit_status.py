"""Exit statuses of the programs, and the log event that ends the log of a gateway."""

from __future__ import annotations

EXIT_OK = 0
"""The program has done its work, or was told to stop."""
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_FAULT = 70
"""The program ended by a fault of its own; `sysexits.h` calls this status EX_SOFTWARE."""

PROCESS_STOPPED = "process.stopped"
"""Event of the last log line of a gateway, which states why the process ends."""
