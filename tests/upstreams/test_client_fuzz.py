"""Upstreams and a platform that answer with anything at all: typed failures, nothing else."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

import anyio
from anyio.abc import SocketAttribute
from anyio.abc import SocketStream
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from lotushill.objectapi.exceptions import PlatformError
from lotushill.objectapi.http_platform import HttpPlatform
from lotushill.upstreams.client import UpstreamClient
from lotushill.upstreams.client import UpstreamRequest
from lotushill.upstreams.exceptions import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HEADS = [
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    b"HTTP/1.1 503 Busy\r\nlotushill-not-run: 1\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/9.9 abc\r\n\r\n",
    b"",
]
BODIES = [b"5\r\nhello\r\n0\r\n\r\n", b"5\r\nhel", b"ffffffffff\r\n", b"-1\r\n\r\n", b"hello", b""]
ANSWERS = st.one_of(
    st.binary(max_size=60),
    st.tuples(st.sampled_from(HEADS), st.sampled_from(BODIES)).map(lambda pair: pair[0] + pair[1]),
    st.tuples(st.sampled_from(HEADS), st.binary(max_size=30)).map(lambda pair: pair[0] + pair[1]),
)
JSON_BODIES = st.sampled_from(
    [b"", b"null", b"[]", b"{}", b'{"key": 1}', b"[null]", b'{"version": "x"}', b"[" * 50, b"\xff"]
)


async def with_server(answer: bytes, check: Callable[[str], Awaitable[None]]) -> None:
    """Run a check against a server that reads a little, answers, and closes."""

    async def serve(stream: SocketStream) -> None:
        async with stream:
            try:
                await stream.receive()
                await stream.send(answer)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        with anyio.fail_after(10):
            await check(f"127.0.0.1:{port}")
        group.cancel_scope.cancel()


class TestUpstreamAnswers(unittest.TestCase):
    @settings(max_examples=120)
    @given(ANSWERS)
    def test_any_answer_is_whole_or_a_typed_failure(self, answer: bytes) -> None:
        async def check(address: str) -> None:
            client = UpstreamClient()
            request = UpstreamRequest(address, "POST", "/", (), b"x", 0.3)
            try:
                async with client.send(request) as found:
                    async for _ in found.chunks():
                        pass
            except UpstreamError:
                pass
            await client.close()

        anyio.run(with_server, answer, check)

    def test_a_chunked_body_that_is_cut_is_broken(self) -> None:
        async def check(address: str) -> None:
            client = UpstreamClient()
            request = UpstreamRequest(address, "POST", "/", (), b"x", 0.3)
            with self.assertRaises(UpstreamError):
                async with client.send(request) as found:
                    async for _ in found.chunks():
                        pass
            await client.close()

        for body in (b"5\r\nhel", b"5\r\nhello\r\n", b"5\r\nhello\r\n0\r\n", b""):
            anyio.run(with_server, HEADS[0] + body, check)


class TestPlatformAnswers(unittest.TestCase):
    @settings(max_examples=60)
    @given(st.sampled_from([200, 404, 409, 500]), JSON_BODIES, st.sampled_from(range(6)))
    def test_any_answer_is_taken_or_a_typed_failure(
        self, status: int, body: bytes, which: int
    ) -> None:
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n\r\n".encode()

        async def check(address: str) -> None:
            platform = HttpPlatform(f"http://{address}")
            calls: list[Callable[[], Awaitable[object]]] = [
                lambda: platform.get("k"),
                lambda: platform.list("k"),
                lambda: platform.put("k", "v", 0),
                lambda: platform.delete("k", 1),
                lambda: platform.watch("k", 0, 0.1),
                platform.hosts,
            ]
            try:
                await calls[which]()
            except PlatformError:
                pass
            await platform.close()

        anyio.run(with_server, head + body, check)
