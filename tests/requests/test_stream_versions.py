"""A stream goes on, within one answer, at another software version than the one that began it.

Each way to go on (another attempt, the replacement of a silent upstream, a backup, a move) chose
its upstream by load alone, and the client received events that do not fit together.
"""

from __future__ import annotations

import asyncio
import json
import unittest
from dataclasses import replace
from unittest.mock import patch

from lotushill.requests.stream_version import StreamVersion
from lotushill.routing.route import RouteKind
from lotushill.routing.upstream import Upstream
from lotushill.versions.stream_origins import FoundOrigin
from lotushill.versions.stream_origins import KnownBy
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event
from tests.requests.rig import request_bytes
from tests.requests.test_cooldowns import prefer
from tests.requests.test_moves import LONG
from tests.requests.test_moves import Site
from tests.requests.test_silent_upstream import resumes
from tests.requests.test_silent_upstream import stalls

WHOLE = b"".join(event(number) for number in range(3))
_LONG_ENOUGH_FOR_A_BACKUP = "Token-Usage: 50,20\r\n"


def set_versions(rig: Rig, *versions: str, leaving: int | None = None) -> None:
    """Give the upstreams their versions, and let one of them leave."""
    rig.view.replace(
        [
            Upstream(
                f"b{number}", "s", item.address, "z", 8, number == leaving, version=version,
                leaves_seconds=0.4 if number == leaving else None,
            )
            for number, (item, version) in enumerate(zip(rig.upstreams, versions))
        ],
        rig.view.revision + 1,
    )  # fmt: skip


async def breaks(seen: ReceivedRequest) -> None:
    """Send an event and reset the connection."""
    seen.start_events()
    seen.event(0)
    await seen.writer.drain()
    await asyncio.sleep(0.05)
    seen.reset()


async def breaks_before_an_event(seen: ReceivedRequest) -> None:
    """Reset the connection before any event."""
    seen.reset()


def served(rig: Rig) -> list[int]:
    """Return the numbers of the upstreams that received a request."""
    return [number for number, item in enumerate(rig.upstreams) if item.requests]


def rig_of(first: ScriptedUpstream, others: int = 2, max_attempts: int = 3) -> Rig:
    upstreams = [first, *(ScriptedUpstream([resumes]) for _ in range(others))]
    return Rig(upstreams, RouteKind.STREAM, True, engine=True, max_attempts=max_attempts)


class TestRestartsInPlace(unittest.IsolatedAsyncioTestCase):
    """An upstream crashes and returns as another version before its entry says so."""

    async def test_a_stream_does_not_go_on_at_an_upstream_that_has_restarted(self) -> None:
        async with rig_of(ScriptedUpstream([breaks])) as rig:
            set_versions(rig, "v1", "v1", "v2")
            prefer(rig, "b0")
            restarted = rig.view.find("b1")
            assert restarted is not None
            rig.ended_incarnations.note_refused(restarted)
            got = await rig.call()
        self.assertFalse(got.whole)
        self.assertEqual([0], served(rig))

    async def test_a_stream_that_began_at_a_restarted_upstream_goes_on_nowhere(self) -> None:
        async with rig_of(ScriptedUpstream([breaks])) as rig:
            set_versions(rig, "v1", "v1", "v1")
            prefer(rig, "b0")
            restarted = rig.view.find("b0")
            assert restarted is not None
            rig.ended_incarnations.note_refused(restarted)
            got = await rig.call()
            again = await rig.call("r2", "Resumes: r1\r\nLast-Event-Id: 0\r\n")
        self.assertFalse(got.whole)
        self.assertEqual(503, again.status)
        self.assertEqual([0], served(rig))

    async def test_a_refused_connection_shows_that_an_incarnation_has_ended(self) -> None:
        async with rig_of(ScriptedUpstream([breaks])) as rig:
            set_versions(rig, "v1", "v1", "v1")
            prefer(rig, "b0")
            rig.upstreams[0].stop()
            got = await rig.call()
            rig.ended_incarnations.process_due()
        self.assertTrue(got.whole)
        self.assertEqual([("b0",)], [message.upstreams for message in rig.sent_ended_messages])


class TestStreamVersions(unittest.IsolatedAsyncioTestCase):
    async def test_another_attempt_is_made_at_the_version_that_began_the_stream(self) -> None:
        for version in ("v1", "v2"):
            async with rig_of(ScriptedUpstream([breaks])) as rig:
                others = ["v2", "v1"] if version == "v1" else ["v1", "v2"]
                set_versions(rig, version, *others)
                prefer(rig, "b0")
                got = await rig.call()
            self.assertEqual((True, WHOLE), (got.whole, got.body))
            self.assertEqual([0, 2], served(rig))

    async def test_other_versions_are_not_even_tried(self) -> None:
        async with rig_of(ScriptedUpstream([breaks]), others=7) as rig:
            set_versions(rig, "v1", *["v2"] * 6, "v1")
            prefer(rig, "b0")
            got = await rig.call()
            whys = [json.loads(line).get("why", "") for line in rig.lines]
        self.assertEqual((True, WHOLE), (got.whole, got.body))
        self.assertEqual([], [why for why in whys if why.startswith("other version")])

    async def test_without_an_upstream_of_its_version_a_stream_is_truncated(self) -> None:
        async with rig_of(ScriptedUpstream([breaks])) as rig:
            set_versions(rig, "v1", "v2", "v2")
            prefer(rig, "b0")
            got = await rig.call()
        self.assertEqual((False, event(0)), (got.whole, got.body))
        self.assertEqual([0], served(rig))

    async def test_before_the_first_event_any_version_will_do(self) -> None:
        async with rig_of(ScriptedUpstream([breaks_before_an_event]), others=1) as rig:
            set_versions(rig, "v1", "v2")
            prefer(rig, "b0")
            got = await rig.call()
        self.assertEqual((True, WHOLE), (got.whole, got.body))
        self.assertEqual([0, 1], served(rig))

    async def test_a_silent_upstream_is_replaced_at_the_version_that_began_the_stream(self) -> None:
        async with rig_of(ScriptedUpstream([stalls])) as rig:
            set_versions(rig, "v1", "v2", "v1")
            prefer(rig, "b0")
            got = await rig.call()
        self.assertEqual((True, WHOLE), (got.whole, got.body))
        self.assertEqual([0, 2], served(rig))

    async def test_a_backup_is_kept_at_the_version_of_its_run(self) -> None:
        async def either(seen: ReceivedRequest) -> None:
            await (resumes if "kv-from" in seen.headers else breaks)(seen)

        upstreams = [ScriptedUpstream([either]) for _ in range(4)]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            set_versions(rig, "v1", "v2", "v1", "v2")
            got = await rig.call(headers=_LONG_ENOUGH_FOR_A_BACKUP)
            versions = {f"b{n}": "v1" if n % 2 == 0 else "v2" for n in range(4)}
        self.assertEqual((True, WHOLE), (got.whole, got.body))
        self.assertEqual(1, len({versions[f"b{number}"] for number in served(rig)}))

    async def test_without_another_upstream_of_its_version_a_run_has_no_backup(self) -> None:
        upstreams = [ScriptedUpstream([breaks]), ScriptedUpstream([breaks])]
        async with Rig(upstreams, RouteKind.STREAM, engine=True, backups=True) as rig:
            set_versions(rig, "v1", "v2")
            got = await rig.call(headers=_LONG_ENOUGH_FOR_A_BACKUP)
        (seen,) = [seen for item in upstreams for seen in item.requests]
        self.assertNotIn("kv-backup", seen.headers)
        self.assertFalse(got.whole)

    async def test_a_run_is_moved_to_the_version_that_began_its_stream(self) -> None:
        for target in (1, 2):
            site = Site()
            async with site.open():
                versions = ["v1", "v2", "v2"]
                versions[target] = "v1"
                set_versions(site.rig, *versions)
                prefer(site.rig, "b0")
                calling = asyncio.create_task(site.rig.call(headers=LONG))
                await site.wait_started()
                set_versions(site.rig, *versions, leaving=0)
                got = await calling
                await site.wait_idle()
            self.assertTrue(got.whole)
            self.assertEqual([0, target], served(site.rig))

    async def test_a_run_without_a_target_of_its_version_is_not_stopped(self) -> None:
        site = Site()
        async with site.open():
            set_versions(site.rig, "v1", "v2", "v2")
            prefer(site.rig, "b0")
            calling = asyncio.create_task(site.rig.call(headers=LONG))
            await site.wait_started()
            set_versions(site.rig, "v1", "v2", "v2", leaving=0)
            got = await calling
            await site.wait_idle()
        self.assertTrue(got.whole)
        self.assertEqual([], site.source.calls)
        self.assertEqual([0], served(site.rig))

    async def test_a_placement_at_another_version_is_not_sent(self) -> None:
        # A scheduler may name any upstream; the check right before the request is written is last.
        async with rig_of(ScriptedUpstream([breaks])) as rig:
            set_versions(rig, "v1", "v2", "v1")
            prefer(rig, "b1")
            prefer(rig, "b0")
            got = await rig.call()
            lines = [json.loads(line) for line in rig.lines]
        self.assertEqual((True, WHOLE), (got.whole, got.body))
        self.assertEqual([0, 2], served(rig))
        barred = [line for line in lines if line.get("why") == "other version: v2"]
        self.assertEqual(["b1"], [line["upstream"] for line in barred])

    async def test_a_later_incarnation_of_another_version_is_another_upstream(self) -> None:
        async with rig_of(ScriptedUpstream([breaks, resumes]), others=0) as rig:
            set_versions(rig, "v1")
            prefer(rig, "b0")
            calling = asyncio.create_task(rig.call())
            while not rig.upstreams[0].requests:
                await asyncio.sleep(0.005)
            restarted = [replace(item, id=f"{item.id}@2", version="v2") for item in rig.view.all()]
            rig.view.replace(restarted, rig.view.revision + 1)
            got = await calling
        self.assertEqual((False, event(0)), (got.whole, got.body))
        self.assertEqual(1, len(rig.upstreams[0].requests))


class TestTakeUps(unittest.IsolatedAsyncioTestCase):
    """A client takes a stream up with a request of its own."""

    def rig(self, count: int = 3) -> Rig:
        upstreams = [ScriptedUpstream([resumes]) for _ in range(count)]
        return Rig(upstreams, RouteKind.STREAM, True, engine=True)

    def headers(self, first_request: str = "r1") -> str:
        return f"Last-Event-Id: 0\r\nResumes: {first_request}\r\n"

    async def test_a_stream_that_is_taken_up_goes_on_at_its_version(self) -> None:
        for version in ("v1", "v2"):
            async with self.rig() as rig:
                set_versions(rig, version, "v2", "v1")
                place = rig.components.placer.place
                prefer(rig, "b0")
                await rig.call("r1")
                rig.components.placer.place = place  # type: ignore[method-assign]
                prefer(rig, "b1" if version == "v1" else "b2")
                set_versions(rig, "other", "v2", "v1")
                got = await rig.call("r2", self.headers())
                lines = [json.loads(line) for line in rig.lines]
            self.assertEqual((True, event(1) + event(2)), (got.whole, got.body))
            self.assertEqual([0, 2 if version == "v1" else 1], served(rig))
            (resumed,) = [line for line in lines if line["event"] == "stream.resumed"]
            self.assertEqual(
                ("r1", version, "this gateway"),
                (resumed["resumes"], resumed["version"], resumed["known_by"]),
            )

    async def test_a_stream_that_is_taken_up_twice_is_known_by_its_first_request(self) -> None:
        async with self.rig() as rig:
            set_versions(rig, "v1", "v2", "v2")
            prefer(rig, "b0")
            await rig.call("r1")
            await rig.call("r2", self.headers("r1"))
            await rig.call("r3", self.headers("r1"))
        self.assertEqual([0], served(rig))
        self.assertEqual(3, len(rig.upstreams[0].requests))
        self.assertEqual({}, rig.stream_origins.running)

    async def test_a_stream_with_a_long_id_is_kept_under_a_short_key(self) -> None:
        """Records of streams kept ids of the length of a whole head, and sent them to peers."""
        long_id = "a" * 10_000
        async with self.rig() as rig:
            set_versions(rig, "v1", "v2", "v2")
            prefer(rig, "b0")
            told: list[str] = []
            rig.stream_origins.on_begun = lambda origin: told.append(origin.request)
            await rig.call(long_id)
            got = await rig.call("r2", self.headers(long_id))
        self.assertEqual((True, event(1) + event(2)), (got.whole, got.body))
        self.assertEqual([0], served(rig))
        self.assertLessEqual({len(key) for key in told}, set(range(65)))

    async def test_a_stream_whose_version_nobody_knows_is_refused_as_not_run(self) -> None:
        async with self.rig() as rig:
            set_versions(rig, "v1", "v2", "v2")
            for headers in (self.headers("r0"), "Last-Event-Id: 0\r\n"):
                got = await rig.call("r2", headers)
                self.assertEqual(503, got.status)
                self.assertIn("retry-after", got.headers)
            lines = [json.loads(line) for line in rig.lines]
        self.assertEqual([], served(rig))
        refused = [line for line in lines if line["event"] == "stream.refused"]
        self.assertEqual(["unknown version"] * 2, [line["why"] for line in refused])

    async def test_a_stream_without_an_upstream_of_its_version_is_refused_at_once(self) -> None:
        async with self.rig(2) as rig:
            set_versions(rig, "v1", "v2")
            prefer(rig, "b0")
            await rig.call("r1")
            set_versions(rig, "v1", "v2", leaving=0)
            prefer(rig, "b1")
            began = asyncio.get_running_loop().time()
            got = await rig.call("r2", self.headers())
            elapsed = asyncio.get_running_loop().time() - began
            lines = [json.loads(line) for line in rig.lines]
        self.assertEqual((503, "2.00"), (got.status, got.headers["retry-after"]))
        self.assertLess(elapsed, 0.3)
        self.assertEqual([0], served(rig))
        (none,) = [line for line in lines if line["event"] == "placement.none"]
        self.assertEqual("no upstream of its version", none["reason"])

    async def test_a_client_that_leaves_while_its_version_is_looked_up_reaches_no_upstream(
        self,
    ) -> None:
        async with self.rig() as rig:
            set_versions(rig, "v1", "v2", "v2")
            looked_up = asyncio.Event()

            async def find(request: str, *_: object) -> FoundOrigin:
                del request
                await looked_up.wait()
                return FoundOrigin("s", "v1", KnownBy.PEER)

            with patch.object(rig.stream_origins, "find", find):
                _, writer = await rig.connect()
                writer.write(request_bytes("r2", self.headers()))
                await asyncio.sleep(0.05)
                writer.close()
                await asyncio.sleep(0.05)
                looked_up.set()
                while rig.front.in_progress:
                    await asyncio.sleep(0.005)
        self.assertEqual([], served(rig))

    async def test_a_client_that_names_no_request_goes_on_while_there_is_one_version(self) -> None:
        async with self.rig() as rig:
            set_versions(rig, "v1", "v1", "v1")
            got = await rig.call("r2", "Last-Event-Id: 0\r\n")
        self.assertEqual((True, event(1) + event(2)), (got.whole, got.body))


class TestStreamVersion(unittest.TestCase):
    def upstream(self, version: str) -> Upstream:
        return Upstream("b0", "s", "10.0.0.1:80", "z", 8, False, version=version)

    def test_the_first_event_decides_and_is_reported_once(self) -> None:
        begun: list[str] = []
        version = StreamVersion("", begun.append)
        self.assertTrue(version.accepts(self.upstream("v1")))
        self.assertTrue(version.accepts(self.upstream("v2")))
        version.note_event(self.upstream("v1"))
        version.note_event(self.upstream("v1"))
        self.assertEqual((["v1"], "v1"), (begun, version.value))
        self.assertFalse(version.accepts(self.upstream("v2")))

    def test_a_stream_that_is_taken_up_has_its_version_before_any_event(self) -> None:
        begun: list[str] = []
        version = StreamVersion("v1", begun.append)
        self.assertFalse(version.accepts(self.upstream("v2")))
        version.note_event(self.upstream("v1"))
        self.assertEqual(["v1"], begun)
