"""All gateways but one are killed at the same moment, and the clients take their streams up there.

Engines of two versions serve side by side. A stream may go on only at the version that began it, so
the gateway that is left has to know that version.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins.clients import Stream
from standins.clients import read_stream
from standins.deployment import Entry
from standins.deployment import Site
from standins.runner import BROKEN
from standins.runner import HELD
from standins.runner import NOT_RUN
from standins.runner import Record
from standins.runner import run_case
from standins.small_site import DEADLINE_SECONDS
from standins.small_site import PREFIX
from standins.small_site import STREAMS_PER_SECOND
from standins.small_site import gateway_names
from standins.small_site import start_small_site

ENGINES = {"i-1": "v1", "i-2": "v2", "i-3": "v1", "i-4": "v2", "i-5": "v1"}
"""Versions of the engines."""
EVENTS = 100
MAX_TRIES = 6
WARM_UP_SECONDS = 13.0
SAMPLE_SECONDS = 6.0
"""Time before the kill, in the first half of which some clients lose their connections."""
LEAVING_EVERY = 6
"""One client in so many loses its connection then, and takes its stream up."""
LEAVE_AFTER_EVENT = 20
DOWN_SECONDS = 2.0
REST_SECONDS = 6.0
CONTACT_SECONDS = 3.0
"""Time after its start from which a gateway is in touch."""
MIN_TAKE_UPS = 12
"""Streams that are taken up from which the rule applies."""
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """One play of the case."""

    def __init__(self, site: Site, record: Record) -> None:
        """Play it with the processes of `site`."""
        self._site = site
        self._record = record
        self._moment = 0.0
        """Time of the kill, or at which it would be."""

    async def run(self) -> int:
        """Play the case and return the exit status."""
        site, record = self._site, self._record
        if not await start_small_site(site, ENGINES):
            record.result("the gateways were not ready in time")
            return NOT_RUN
        record.note("all gateways are ready")
        length = WARM_UP_SECONDS + SAMPLE_SECONDS + DOWN_SECONDS + REST_SECONDS
        sending = asyncio.create_task(self._send_streams(time.monotonic() + length))
        await asyncio.sleep(WARM_UP_SECONDS + SAMPLE_SECONDS)
        self._moment = time.time()
        if HAS_TROUBLE:
            await self._kill_most()
        streams = await sending
        record.streams(streams)
        return self._judge(streams)

    async def _kill_most(self) -> None:
        """Kill all gateways but the first at once, and start them again after a moment."""
        survivor, *killed = gateway_names()
        for name in killed:
            self._site.processes[name].kill()
        self._record.note(f"all gateways but {survivor} are killed (SIGKILL)")
        await asyncio.sleep(DOWN_SECONDS)
        for name in killed:
            self._site.kill(name)
            self._site.restart_gateway(name)
        self._record.note("the killed gateways start again")

    async def _send_streams(self, ends: float) -> list[Stream]:
        """Let clients send streams at a steady rate until a time; return them when all ended."""
        tasks, entry = [], Entry(self._site)
        asking = asyncio.create_task(entry.run())
        started = time.monotonic()
        while time.monotonic() < ends:
            is_sample = 0 < time.monotonic() - started - WARM_UP_SECONDS < SAMPLE_SECONDS / 2
            leaves = is_sample and len(tasks) % LEAVING_EVERY == 0
            read = read_stream(
                entry.pick,
                PREFIX,
                EVENTS,
                DEADLINE_SECONDS,
                MAX_TRIES,
                LEAVE_AFTER_EVENT if leaves else 0,
            )
            tasks.append(asyncio.create_task(read))
            await asyncio.sleep(1 / STREAMS_PER_SECOND)
        streams = list(await asyncio.gather(*tasks))
        asking.cancel()
        return streams

    def _is_in_touch(self, gateway: str, at: float) -> bool:
        """Return whether a gateway has been running for some seconds at a time."""
        started = max(start for start in self._site.starts[gateway] if start <= at)
        was_killed = HAS_TROUBLE and gateway != self._site.gateways[0]
        is_down = was_killed and started < self._moment <= at
        return not is_down and at >= started + CONTACT_SECONDS

    def _judge(self, streams: list[Stream]) -> int:
        """Return whether too few of the streams that are taken up go on."""
        begun, new, went_on, taken_up = self._counts(streams, is_after=False)
        self._record.result(
            f"before that moment: {begun} of {new} new streams began,"
            f" {went_on} of {taken_up} that were taken up went on"
        )
        if not new or begun < new // 2:
            return NOT_RUN
        begun, new, went_on, taken_up = self._counts(streams, is_after=True)
        self._record.result(
            f"after it, at gateways in touch: {begun} of {new} new streams began,"
            f" {went_on} of {taken_up} that were taken up went on"
        )
        if not new:
            return NOT_RUN
        if taken_up < MIN_TAKE_UPS:
            return HELD
        return BROKEN if went_on / taken_up < 0.5 * begun / new else HELD

    def _counts(self, streams: list[Stream], is_after: bool) -> tuple[int, int, int, int]:
        """Return how many new streams began of how many, and how many went on that were taken up.

        Counted are the tries at gateways in touch, before the kill or after it.
        """
        begun = new = went_on = taken_up = 0
        for item in streams:
            counted = [
                one
                for one in item.tries
                if (one.at >= self._moment) == is_after
                and one.status
                and self._is_in_touch(one.gateway, one.at)
            ]
            first = [one for one in counted if not one.after]
            later = [one for one in counted if one.after]
            new += bool(first)
            begun += any(one.events for one in first)
            taken_up += bool(later)
            went_on += any(one.events for one in later)
        return begun, new, went_on, taken_up


async def play(site: Site, record: Record) -> int:
    """Play the case and return the exit status."""
    return await Case(site, record).run()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
