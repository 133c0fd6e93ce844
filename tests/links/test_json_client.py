"""Calls over connections that fall silent: they stay open, and no answer comes on them again."""

from __future__ import annotations

import asyncio
import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.answer_timeout import AnswerTimeout
from lotushill.links.exceptions import NoAnswerError
from lotushill.links.exceptions import SilentConnectionError
from lotushill.links.json_client import MAX_ANSWER_BYTES
from lotushill.links.json_client import JsonClient

_CONNECTIONS = 3


class SilencedServer:
    """Answers calls on all connections but the silenced ones."""

    def __init__(self) -> None:
        self._writers: list[asyncio.StreamWriter] = []
        self._silent: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.waiting = asyncio.Semaphore(0)
        """Released once for each call that waits for `may_answer`."""

    async def start(self) -> str:
        """Listen, and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    def silence(self) -> None:
        """Silence all open connections."""
        self._silent.update(self._writers)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if not self.may_answer.is_set():
                    self.waiting.release()
                    await self.may_answer.wait()
                if writer not in self._silent:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass


class EndlessServer(SilencedServer):
    """Answers with a head and a body without end."""

    written = 0

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while self.written < 8 * MAX_ANSWER_BYTES:
                writer.write(b"x" * 65_536)
                self.written += 65_536
                await writer.drain()
        except ConnectionError:
            pass


class TestEndlessAnswers(unittest.IsolatedAsyncioTestCase):
    async def test_an_answer_without_end_is_no_answer(self) -> None:
        server = EndlessServer()
        client = JsonClient(await server.start(), _CONNECTIONS, 5.0, 1.0)
        with self.assertRaises(NoAnswerError):
            await client.call("GET", "/")
        await server.close()
        self.assertLess(server.written, 8 * MAX_ANSWER_BYTES)


class TestJsonClient(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.server = SilencedServer()
        address = await self.server.start()
        self.client = JsonClient(address, 8, 60.0, 5.0)

    async def asyncTearDown(self) -> None:
        await self.client.renew_connections()
        await self.server.close()

    async def open_connections(self) -> None:
        """Make calls at once, so that the client keeps several idle connections."""
        self.server.may_answer.clear()
        calls = [asyncio.create_task(self.client.call("GET", "/")) for _ in range(_CONNECTIONS)]
        for _ in calls:
            await self.server.waiting.acquire()
        self.server.may_answer.set()
        await asyncio.gather(*calls)

    async def test_after_a_silent_call_the_next_one_uses_no_connection_from_before(self) -> None:
        await self.open_connections()
        self.server.silence()
        with self.assertRaises(SilentConnectionError):
            await self.client.call("GET", "/", timeout_seconds=0.05)
        answer = await self.client.call("GET", "/", timeout_seconds=5.0)
        self.assertEqual(200, answer.status)

    async def test_a_call_in_progress_is_answered_although_another_one_was_silent(self) -> None:
        await self.open_connections()
        self.server.may_answer.clear()
        waiting = asyncio.create_task(self.client.call("GET", "/", timeout_seconds=5.0))
        await self.server.waiting.acquire()
        with self.assertRaises(SilentConnectionError):
            await self.client.call("GET", "/", timeout_seconds=0.05)
        self.server.may_answer.set()
        self.assertEqual(200, (await waiting).status)


class TestAnswerTimeout(unittest.TestCase):
    @given(st.lists(st.one_of(st.none(), st.floats(0.0, 10.0))))
    def test_it_stays_between_its_bounds(self, calls: list[float | None]) -> None:
        timeout = AnswerTimeout()
        for latency in calls:
            if latency is None:
                timeout.note_timeout()
            else:
                timeout.note_answer(latency)
            self.assertTrue(0.25 <= timeout.seconds <= 2.0)

    def test_calls_to_a_slow_server_are_not_given_up(self) -> None:
        timeout = AnswerTimeout()
        timeout.note_answer(0.2)
        self.assertGreaterEqual(timeout.seconds, 0.8)

    def test_a_single_late_answer_is_soon_forgotten(self) -> None:
        """A host that was suspended receives an answer seconds after it was sent."""
        timeout = AnswerTimeout()
        timeout.note_answer(30.0)
        for _ in range(3):
            timeout.note_answer(0.004)
        self.assertEqual(0.25, timeout.seconds)

    def test_it_grows_until_a_slow_server_answers_in_time(self) -> None:
        timeout = AnswerTimeout()
        given_up = 0
        while timeout.seconds < 1.9:
            timeout.note_timeout()
            given_up += 1
        self.assertLessEqual(given_up, 3)

    def test_an_answer_ends_the_effect_of_timeouts(self) -> None:
        timeout = AnswerTimeout()
        for _ in range(5):
            timeout.note_timeout()
        timeout.note_answer(0.004)
        self.assertEqual(0.25, timeout.seconds)


if __name__ == "__main__":
    unittest.main()
