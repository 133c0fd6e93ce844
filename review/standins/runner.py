"""Runs one case: its folder for temporary files, its record, its time limit and its exit status."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import tempfile
import time
import traceback
from pathlib import Path
from typing import TYPE_CHECKING

from standins.deployment import Site

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from standins.clients import Stream

BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit statuses: the rule was broken, it held, the case could not run."""
_MAX_SECONDS = 110.0


class Record:
    """Lines of `record.txt`; what is said to be a result is printed as well."""

    def __init__(self) -> None:
        """Create an empty record."""
        self.lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line with the time."""
        self.lines.append(f"{time.time():.3f} {text}")

    def result(self, text: str) -> None:
        """Add a line with the time, and print it."""
        self.note(text)
        print(self.lines[-1])

    def streams(self, streams: list[Stream]) -> None:
        """Add all tries of streams."""
        self.lines.append(
            "the tries of each stream: attempt, gateway, sent at, after event, status,"
            " versions of its events in their order, whether it ended complete"
        )
        for item in streams:
            tries = [
                [
                    one.attempt,
                    one.gateway,
                    round(one.at, 3),
                    one.after,
                    one.status,
                    " ".join(version for _, version in one.events),
                    one.complete,
                ]
                for one in item.tries
            ]
            self.lines.append(json.dumps(tries))


def run_case(folder: Path, play: Callable[[Site, Record], Awaitable[int]]) -> int:
    """Play a case, end all processes, write `record.txt` into `folder`; return the exit status."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record()
    with tempfile.TemporaryDirectory() as temporary:
        site = Site(Path(temporary))
        try:
            return asyncio.run(_play(site, record, play))
        except Exception:
            record.result("the case could not run: " + traceback.format_exc())
            return NOT_RUN
        finally:
            site.close()
            record.lines.append("what engines began and ended:")
            record.lines += site.engine_log.read_text(encoding="utf-8").splitlines()
            text = "\n".join(record.lines) + "\n"
            (folder / "record.txt").write_text(text, encoding="utf-8")


async def _play(site: Site, record: Record, play: Callable[[Site, Record], Awaitable[int]]) -> int:
    try:
        async with asyncio.timeout(_MAX_SECONDS):
            return await play(site, record)
    finally:
        await site.store.close()
