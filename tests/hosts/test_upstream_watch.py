"""What a member that begins to decide for a cell knows of upstreams, and how soon."""

from __future__ import annotations

import random
import unittest

import anyio

from lotushill.dispatch.dispatcher import Dispatcher
from lotushill.dispatch.fallback import Fallback
from lotushill.dispatch.options import CellOptions
from lotushill.hosts.upstream_watch import UpstreamWatch
from lotushill.objectapi.objects import HostRecord
from lotushill.objectapi.objects import HostState
from tests.dispatch.cell_driver import make_ask
from tests.dispatch.test_client import records


class Hosts:
    """A host list that counts how often it is read."""

    def __init__(self) -> None:
        self.reads = 0
        self.records = records(2)

    async def hosts(self) -> tuple[HostRecord, ...]:
        """Return the list as it is now."""
        self.reads += 1
        return tuple(self.records)


class TestNewDispatcher(unittest.TestCase):
    def test_the_list_is_read_at_once_for_a_new_cell(self) -> None:
        async def main() -> None:
            hosts = Hosts()
            watch: UpstreamWatch
            dispatcher = Dispatcher(lambda _: CellOptions(), lambda: watch.wake())
            watch = UpstreamWatch(hosts, dispatcher, Fallback(), "region", random.Random(1))
            async with anyio.create_task_group() as group:
                group.start_soon(watch.follow_list)
                while not hosts.reads:
                    await anyio.sleep(0.001)
                await anyio.sleep(0.01)
                fields = vars(hosts.records[0]) | {"state": HostState.LEAVING}
                hosts.records[0] = HostRecord(**fields)
                dispatcher.handle("a", make_ask("r"), 0.0)
                with anyio.fail_after(5):
                    while not dispatcher.cells["pool@region"].upstreams["up-0"].leaving:
                        await anyio.sleep(0.001)
                self.assertEqual(hosts.reads, 2, "it was found by waiting for the next round")
                group.cancel_scope.cancel()

        anyio.run(main)
