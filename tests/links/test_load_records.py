"""Load records are decoded to the encoded loads; invalid bytes raise MalformedFrameError."""

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


def with_parts(parts: list[tuple[int, int]], without_parts: Placed) -> Placed:
    ids = tuple(part for part, _ in parts)
    sizes = tuple(size for _, size in parts)
    return replace(without_parts, part_ids=ids, part_tokens=sizes)


PLACED_WITHOUT_PARTS = st.builds(
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
    first_event_seconds=SECONDS,
    total_prefill_tokens=TOKENS,
)
PLACED = st.builds(with_parts, PARTS, PLACED_WITHOUT_PARTS)
RUNNING = st.lists(NUMBERS, max_size=8).map(tuple)
LOADS = st.builds(
    Load,
    st.just("gw"),
    st.booleans(),
    st.lists(PLACED, max_size=4).map(tuple),
    st.lists(st.builds(Began, NUMBERS, SECONDS), max_size=8).map(tuple),
    st.lists(st.builds(Paced, NUMBERS, SECONDS), max_size=8).map(tuple),
    st.lists(st.builds(Ended, NUMBERS, st.sampled_from(Outcome), SECONDS), max_size=8).map(tuple),
    RUNNING,
)
UPSTREAMS_BY_NUMBER = {upstream_number(name): name for name in UPSTREAMS}


_UPSTREAM_IDS = {upstream_number(name): name for name in UPSTREAMS}
ANY_NUMBER = st.integers(-(2**70), 2**70)
ANY_SECONDS = st.floats()
ANY_PLACED = st.builds(
    Placed,
    NUMBERS,
    st.sampled_from(UPSTREAMS),
    ANY_NUMBER,
    ANY_NUMBER,
    ANY_SECONDS,
    ANY_SECONDS,
    ANY_SECONDS,
    st.just((7,)),
    st.tuples(ANY_NUMBER),
    route=TOKENS,
    tier=ANY_NUMBER,
    prompt=ANY_NUMBER,
    first_event_seconds=ANY_SECONDS,
    total_prefill_tokens=ANY_NUMBER,
)


class TestLoadRecords(unittest.TestCase):
    @given(st.lists(ANY_PLACED, max_size=4).map(tuple), st.builds(Began, NUMBERS, ANY_SECONDS))
    def test_numbers_out_of_range_are_clamped(
        self, placed: tuple[Placed, ...], began: Began
    ) -> None:
        """One request with a negative size stopped the updates of all requests of a gateway."""
        (load,) = unpack_loads(
            pack_load(Load("gw", True, placed, (began,), (), (), ())), _UPSTREAM_IDS.get
        )
        self.assertEqual([item.request for item in placed], [item.request for item in load.placed])
        for item in load.placed:
            self.assertTrue(all(0 <= size < 2**32 for size in (*item.part_tokens, item.prompt)))

    @given(st.lists(LOADS, max_size=4))
    def test_loads_are_decoded_as_they_were_encoded(self, loads: list[Load]) -> None:
        data = b"".join(pack_load(load) for load in loads)
        self.assertEqual(loads, unpack_loads(data, UPSTREAMS_BY_NUMBER.get))

    @given(LOADS)
    def test_requests_at_unknown_upstreams_are_omitted(self, load: Load) -> None:
        (found,) = unpack_loads(pack_load(load), lambda number: None)
        self.assertEqual(replace(load, placed=()), found)

    @given(LOADS, st.data())
    def test_truncated_records_are_malformed(self, load: Load, data: st.DataObject) -> None:
        packed = pack_load(load)
        cut = data.draw(st.integers(1, len(packed) - 1))
        with self.assertRaises(MalformedFrameError):
            unpack_loads(packed[:cut], UPSTREAMS_BY_NUMBER.get)

    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_malformed_or_a_load(self, data: bytes) -> None:
        try:
            unpack_loads(data, UPSTREAMS_BY_NUMBER.get)
        except MalformedFrameError:
            pass
