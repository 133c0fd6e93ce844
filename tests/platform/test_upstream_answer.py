"""Headers in which answers state something about their upstream, with valid and invalid values."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.availability.stated_limits import NO_LIMIT
from lotushill.availability.statement import MAX_COOLDOWN_SECONDS
from lotushill.availability.statement import MAX_REQUESTS_PER_SECOND
from lotushill.availability.statement import MIN_REQUESTS_PER_SECOND
from lotushill.platform.upstream_answer import read_statement

RETRY = b"retry-after"
LIMIT = b"server-limit"
BRITTLE = b"server-brittle"


class TestNotExecuted(unittest.TestCase):
    def test_which_answers_state_that_nothing_ran(self) -> None:
        self.assertTrue(read_statement(503, [(b"not-executed", b"1")]).not_executed)
        self.assertTrue(read_statement(421, []).not_executed)
        self.assertFalse(read_statement(503, []).not_executed)
        self.assertFalse(read_statement(500, []).not_executed)


class TestCooldown(unittest.TestCase):
    def test_whole_and_fractional_seconds(self) -> None:
        for text, seconds in ((b"3", 3.0), (b"0.25", 0.25), (b" 2 ", 2.0), (b"0", 0.0)):
            with self.subTest(text=text):
                stated = read_statement(503, [(RETRY, text)])
                self.assertEqual((seconds, ""), (stated.cooldown, stated.unreadable_cooldown))

    def test_only_status_503_states_a_cooldown(self) -> None:
        for status in (200, 429, 500, 502, 504):
            with self.subTest(status=status):
                self.assertEqual(0.0, read_statement(status, [(RETRY, b"3")]).cooldown)

    def test_a_503_that_may_have_run_the_request_states_a_cooldown_as_well(self) -> None:
        self.assertEqual(3.0, read_statement(503, [(RETRY, b"3")]).cooldown)

    def test_of_several_values_the_longest_valid_one_counts(self) -> None:
        stated = read_statement(
            503, [(RETRY, b"1"), (RETRY, b"soon"), (RETRY, b"4"), (RETRY, b"2")]
        )
        self.assertEqual((4.0, "soon"), (stated.cooldown, stated.unreadable_cooldown))

    def test_values_that_are_not_seconds_are_ignored(self) -> None:
        odd = (b"-1", b"nan", b"inf", b"1e999", b"", b"Wed, 21 Oct 2026 07:28:00 GMT", b"1, 2")
        for text in odd:
            with self.subTest(text=text):
                self.assertEqual(0.0, read_statement(503, [(RETRY, text)]).cooldown)

    def test_a_very_long_cooldown_is_limited(self) -> None:
        stated = read_statement(503, [(RETRY, b"9" * 20)])
        self.assertEqual(MAX_COOLDOWN_SECONDS, stated.cooldown)

    @given(st.integers(100, 599), st.lists(st.tuples(st.just(RETRY), st.binary(max_size=30))))
    def test_any_bytes_give_a_cooldown_within_bounds(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        stated = read_statement(status, headers)
        self.assertTrue(0.0 <= stated.cooldown <= MAX_COOLDOWN_SECONDS)


class TestLeaving(unittest.TestCase):
    def test_any_status_may_announce_leaving(self) -> None:
        for status in (200, 206, 421, 500, 503, 504):
            with self.subTest(status=status):
                self.assertTrue(read_statement(status, [(b"server-leaving", b"1")]).leaving)

    def test_other_headers_do_not_announce_leaving(self) -> None:
        for headers in ([], [(b"server-leaving", b"0")], [(b"connection", b"close")]):
            with self.subTest(headers=headers):
                self.assertFalse(read_statement(200, headers).leaving)


class TestLimit(unittest.TestCase):
    def test_any_status_may_state_a_limit(self) -> None:
        for status in (200, 421, 429, 500, 503):
            with self.subTest(status=status):
                self.assertEqual(1.5, read_statement(status, [(LIMIT, b"1.5")]).limit)

    def test_an_answer_without_the_header_states_no_limit(self) -> None:
        self.assertEqual(NO_LIMIT, read_statement(200, []).limit)

    def test_decimal_numbers_in_usual_notations(self) -> None:
        for text, rate in ((b"4", 4.0), (b" 0.25 ", 0.25), (b".5", 0.5), (b"50.", 50.0)):
            with self.subTest(text=text):
                self.assertEqual(rate, read_statement(200, [(LIMIT, text)]).limit)

    def test_of_several_values_the_lowest_valid_one_counts(self) -> None:
        stated = read_statement(200, [(LIMIT, b"4"), (LIMIT, b"few"), (LIMIT, b"2"), (LIMIT, b"3")])
        self.assertEqual((2.0, "few"), (stated.limit, stated.unreadable_limit))

    def test_a_value_that_is_no_decimal_number_leaves_the_limit_unknown(self) -> None:
        odd = (
            b"-1",
            b"nan",
            b"inf",
            b"1e999",
            b"1e2",
            b"0x2",
            b"1_0",
            b"",
            b"few",
            b"1, 2",
            b"1 2",
        )
        for text in odd:
            with self.subTest(text=text):
                stated = read_statement(200, [(LIMIT, text)])
                self.assertIsNone(stated.limit)
                self.assertEqual(text.decode() or "(empty)", stated.unreadable_limit)

    def test_extreme_limits_are_bounded(self) -> None:
        self.assertEqual(MIN_REQUESTS_PER_SECOND, read_statement(200, [(LIMIT, b"0")]).limit)
        self.assertEqual(MAX_REQUESTS_PER_SECOND, read_statement(200, [(LIMIT, b"9" * 25)]).limit)

    @given(st.lists(st.tuples(st.just(LIMIT), st.binary(max_size=30))))
    def test_any_bytes_give_a_limit_within_bounds_or_an_unknown_one(
        self, headers: list[tuple[bytes, bytes]]
    ) -> None:
        limit = read_statement(200, headers).limit
        self.assertTrue(
            limit is None
            or limit == NO_LIMIT
            or MIN_REQUESTS_PER_SECOND <= limit <= MAX_REQUESTS_PER_SECOND
        )


class TestBrittle(unittest.TestCase):
    def test_numbers_state_how_many_rejections_the_upstream_bears(self) -> None:
        for text, number in ((b"6", 6.0), (b" 0 ", 0.0), (b"2.5", 2.5)):
            with self.subTest(text=text):
                self.assertEqual(number, read_statement(200, [(BRITTLE, text)]).max_rejections)

    def test_the_lowest_of_several_numbers_counts(self) -> None:
        headers = [(BRITTLE, b"6"), (BRITTLE, b"4"), (BRITTLE, b"very")]
        self.assertEqual(4.0, read_statement(200, headers).max_rejections)

    def test_other_values_and_none_do_not(self) -> None:
        for text in (b"", b"very", b"-1", b"nan", b"1e3"):
            with self.subTest(text=text):
                self.assertIsNone(read_statement(503, [(BRITTLE, text)]).max_rejections)
        self.assertIsNone(read_statement(200, []).max_rejections)
