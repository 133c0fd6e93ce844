from __future__ import annotations

import json
import unittest
from typing import Any

from lotushill.links.exceptions import NoAnswerError
from lotushill.links.json_client import JsonAnswer
from lotushill.moves.memory_copy import Copied
from lotushill.moves.memory_copy import NoCopyReason
from lotushill.moves.memory_copy import NotCopied
from lotushill.platform.memory_calls import move_request_body
from lotushill.platform.memory_calls import parse_move_answer


def answer(status: int, content: Any) -> JsonAnswer:
    return JsonAnswer(status, json.dumps(content).encode())


class TestMemoryCalls(unittest.TestCase):
    def test_the_body_of_a_move_request(self) -> None:
        wanted = {"id": "9c41", "targetVersion": "10.0.0.2:80", "last": True}
        self.assertEqual(wanted, move_request_body("9c41", "10.0.0.2:80", last=True))

    def test_answers_of_an_engine_to_a_move(self) -> None:
        content = {"handle": "h-7", "made": 12}
        self.assertEqual(Copied("h-7", 12), parse_move_answer(answer(200, content)))
        for status, reason in (
            (404, NoCopyReason.UNKNOWN_RUN),
            (409, NoCopyReason.BUSY),
            (503, NoCopyReason.NO_ROOM),
        ):
            self.assertEqual(NotCopied(reason), parse_move_answer(answer(status, {})))
        self.assertEqual(
            NotCopied(NoCopyReason.NO_ROOM, "h-7"), parse_move_answer(answer(503, content))
        )

    def test_a_handle_that_is_invalid_in_a_path_or_header_is_rejected(self) -> None:
        odd = ("", "a b", "a/b", "a?b", "a\r\nx: y", "x" * 300, "é", 7, None, ["h"])
        for handle in odd:
            with self.subTest(handle=handle), self.assertRaises(NoAnswerError):
                parse_move_answer(answer(200, {"handle": handle}))

    def test_any_other_answer_raises_no_answer_error(self) -> None:
        for status, said in ((500, {}), (200, []), (200, {}), (302, {"handle": "h"})):
            with self.subTest(status=status), self.assertRaises(NoAnswerError):
                parse_move_answer(answer(status, said))
