"""An upstream in trouble answers with a status that is none, or with one that promises an answer.

Statuses below 100 counted as interim, so that callers waited for an answer until their deadline and
got whatever came next on the connection; for those from 600 on the server raised an exception,
and callers lost their connections without an answer.
"""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from lotushill.routing.route import RouteKind
from tests.requests.rig import SIGNED
from tests.requests.rig import ReceivedAnswer
from tests.requests.rig import ReceivedRequest
from tests.requests.rig import Rig
from tests.requests.rig import ScriptedUpstream
from tests.requests.rig import event

if TYPE_CHECKING:
    from tests.requests.rig import Script

_TIMEOUT_SECONDS = 10.0
_INVALID = ("000", "001", "099", "104", "199", "600", "700", "999")
_INTERIM = ("100 Continue", "102 Processing", "103 Early Hints")
_BODY = event(0)


def answers(status: str, *, then_answers: bool = False) -> Script:
    """Return a script that answers with a status and a body, and then perhaps as it should."""

    async def script(seen: ReceivedRequest) -> None:
        seen.answer(f"{status} None\r\nContent-Length: 4\r\n{SIGNED}", b"none")
        if then_answers:
            seen.answer_whole(b"behind")

    return script


async def answers_in_order(seen: ReceivedRequest) -> None:
    seen.answer_whole(_BODY)


class TestInvalidStatus(unittest.IsolatedAsyncioTestCase):
    async def call(self, script: Script, kind: RouteKind) -> ReceivedAnswer:
        """Return what the client gets if the upstream that is tried first acts by `script`."""
        received: list[ReceivedRequest] = []

        async def either(seen: ReceivedRequest) -> None:
            received.append(seen)
            await (script if len(received) == 1 else answers_in_order)(seen)

        upstreams = [ScriptedUpstream([either]), ScriptedUpstream([either])]
        async with (
            asyncio.timeout(_TIMEOUT_SECONDS),
            Rig(upstreams, kind, kind is RouteKind.STREAM, timeout=_TIMEOUT_SECONDS / 2) as rig,
        ):
            return await rig.call()

    async def test_it_costs_one_attempt(self) -> None:
        for kind in (RouteKind.IDEMPOTENT, RouteKind.STREAM):
            for status in _INVALID:
                for then_answers in (False, True):
                    with self.subTest(status, kind=kind, then_answers=then_answers):
                        got = await self.call(answers(status, then_answers=then_answers), kind)
                        self.assertEqual((200, True, _BODY), (got.status, got.whole, got.body))

    async def test_a_request_that_may_not_run_twice_ends_as_failed(self) -> None:
        """Bytes behind it belong to no request: nobody knows where its answer ends."""
        for status in _INVALID:
            for then_answers in (False, True):
                with self.subTest(status, then_answers=then_answers):
                    script = answers(status, then_answers=then_answers)
                    got = await self.call(script, RouteKind.NON_IDEMPOTENT)
                    self.assertEqual((502, True), (got.status, got.whole))
                    self.assertNotIn("response-signature", got.headers)

    async def test_interim_answers_are_skipped(self) -> None:
        for status in _INTERIM:
            with self.subTest(status):

                async def interim(seen: ReceivedRequest, status: str = status) -> None:
                    seen.answer(f"{status}\r\n")
                    seen.answer_whole(b"whole")

                got = await self.call(interim, RouteKind.NON_IDEMPOTENT)
                self.assertEqual((200, b"whole"), (got.status, got.body))

    async def test_a_failure_with_an_unusual_status_is_passed_on(self) -> None:
        for status in ("299", "399", "420", "499", "520", "599"):
            with self.subTest(status):
                got = await self.call(answers(status), RouteKind.NON_IDEMPOTENT)
                self.assertEqual((int(status), b"none"), (got.status, got.body))
