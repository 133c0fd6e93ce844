"""Requests that arrive together are parsed one at a time, wherever the network splits them."""

from __future__ import annotations

import itertools
import unittest

import httptools
from hypothesis import given
from hypothesis import strategies as st

from lotushill.clients.message_splitter import MessageSplitter

_BYTES = st.binary(max_size=12).map(lambda data: data.replace(b"x", b"\r\n"))


def _chunked(chunks: list[bytes], trailer: bytes) -> bytes:
    body = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks if chunk)
    return b"POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + body + b"0\r\n" + trailer


_REQUESTS = st.one_of(
    st.just(b"GET /a HTTP/1.1\r\n\r\n"),
    st.just(b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"),
    _BYTES.map(lambda body: b"PUT /l HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)),
    st.builds(_chunked, st.lists(_BYTES, max_size=3), st.sampled_from((b"\r\n", b"A: b\r\n\r\n"))),
)


class Parser:
    """Parses pieces as a connection does, and counts the requests that begin in each."""

    def __init__(self) -> None:
        self.splitter = MessageSplitter()
        self.parser = httptools.HttpRequestParser(self)
        self.headers: dict[bytes, bytes] = {}
        self.begun = self.completed = 0
        self.ends: list[tuple[int, int]] = []
        """Requests begun and completed after each piece."""

    def feed(self, data: bytes) -> None:
        position = 0
        while position < len(data):
            end = self.splitter.piece_end(data, position)
            self.parser.feed_data(data[position:end])
            self.ends.append((self.begun, self.completed))
            position = end

    def on_message_begin(self) -> None:
        self.begun += 1
        self.headers = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_headers_complete(self) -> None:
        is_chunked = b"transfer-encoding" in self.headers
        length = int(self.headers.get(b"content-length", b"0"))
        self.splitter.begin_body(None if is_chunked else length)

    def on_message_complete(self) -> None:
        self.completed += 1
        self.splitter.end_message()


class TestMessageSplitter(unittest.TestCase):
    @given(st.lists(_REQUESTS, min_size=1, max_size=6), st.lists(st.integers(0, 400), max_size=8))
    def test_no_piece_goes_on_after_the_end_of_a_request(
        self, requests: list[bytes], cuts: list[int]
    ) -> None:
        stream = b"".join(requests)
        edges = sorted({0, len(stream), *(min(cut, len(stream)) for cut in cuts)})
        parser = Parser()
        for start, end in itertools.pairwise(edges):
            parser.feed(stream[start:end])
        self.assertEqual((len(requests), len(requests)), (parser.begun, parser.completed))
        before = (0, 0)
        for begun, completed in parser.ends:
            self.assertLessEqual(begun - before[1], 1)
            self.assertLessEqual(completed - before[1], 1)
            before = (begun, completed)

    def test_thousands_of_requests_are_as_many_pieces(self) -> None:
        request = b"GET / HTTP/1.1\r\n\r\n"
        data = request * 1_000
        splitter = MessageSplitter()
        position, count = 0, 0
        while position < len(data):
            position = splitter.piece_end(data, position)
            self.assertEqual(0, position % len(request))
            splitter.end_message()
            count += 1
        self.assertEqual(1_000, count)

    def test_an_empty_line_in_two_parts_ends_a_piece(self) -> None:
        for cut in range(1, 4):
            splitter = MessageSplitter()
            begin = b"GET / HTTP/1.1\r\n\r\n"
            first, rest = begin[: len(begin) - cut], begin[len(begin) - cut :]
            self.assertEqual(len(first), splitter.piece_end(first, 0))
            self.assertEqual(cut, splitter.piece_end(rest + begin, 0))
