"""Records of load: what goes in comes out, and hostile bytes are typed errors."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lotushill.links.exceptions import MalformedFrameError
from lotushill.links.load_records import pack_load
from lotushill.links.load_records import unpack_loads
from lotushill.links.load_records import upstream_number
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Load
from lotushill.placement.messages import Outcome
from lotushill.placement.messages import Paced
from lotushill.placement.messages import Placed

NUMBERS = st.integers(0, 2**64 - 1)
TOKENS = st.integers(0, 2**32 - 1)
SECONDS = st.floats(0, 1000, width=32)
UPSTREAMS = ("i-1", "i-2", "i-3")
PARTS = st.lists(st.tuples(NUMBERS, TOKENS), max_size=5)


def placed(parts: list[tuple[int, int]], plain: Placed) -> Placed:
    ids = tuple(part for part, _ in parts)
    sizes = tuple(size for _, size in parts)
    return replace(plain, part_ids=ids, part_tokens=sizes)


PLAIN = st.builds(
    Placed,
    NUMBERS,
    st.sampled_from(UPSTREAMS),
    TOKENS,
    TOKENS,
    SECONDS,
    SECONDS,
    SECONDS,
    began=st.booleans(),
    route=TOKENS,
    tier=st.integers(0, 255),
    prompt=TOKENS,
    first=SECONDS,
    ahead=TOKENS,
)
PLACED = st.builds(placed, PARTS, PLAIN)
LISTS = st.lists(NUMBERS, max_size=8).map(tuple)
LOADS = st.builds(
    Load,
    st.just("gw"),
    st.booleans(),
    st.lists(PLACED, max_size=4).map(tuple),
    st.lists(st.builds(Began, NUMBERS, SECONDS), max_size=8).map(tuple),
    st.lists(st.builds(Paced, NUMBERS, SECONDS), max_size=8).map(tuple),
    st.lists(st.builds(Ended, NUMBERS, st.sampled_from(Outcome), SECONDS), max_size=8).map(tuple),
    LISTS,
)
KNOWN = {upstream_number(name): name for name in UPSTREAMS}


class TestLoadRecords(unittest.TestCase):
    @given(st.lists(LOADS, max_size=4))
    def test_what_goes_in_comes_out(self, loads: list[Load]) -> None:
        data = b"".join(pack_load(load) for load in loads)
        self.assertEqual(loads, unpack_loads(data, KNOWN.get))

    @given(LOADS)
    def test_requests_on_unknown_upstreams_are_left_out(self, load: Load) -> None:
        (found,) = unpack_loads(pack_load(load), lambda number: None)
        self.assertEqual(replace(load, placed=()), found)

    @given(LOADS, st.data())
    def test_cut_records_are_malformed(self, load: Load, data: st.DataObject) -> None:
        packed = pack_load(load)
        cut = data.draw(st.integers(1, len(packed) - 1))
        with self.assertRaises(MalformedFrameError):
            unpack_loads(packed[:cut], KNOWN.get)

    @given(st.binary(max_size=200))
    def test_other_bytes_are_malformed_or_another_load(self, data: bytes) -> None:
        try:
            unpack_loads(data, KNOWN.get)
        except MalformedFrameError:
            pass
