"""Metrics as they arrive, and attainment as it is counted."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from lotushill.callers.attainment import met_target
from lotushill.callers.call import parse_call
from lotushill.callers.outcome import Outcome
from lotushill.callers.outcome import OutcomeKind
from lotushill.callers.runner import Progress
from lotushill.metrics import Metrics
from tests.callers.rig import KEY
from tests.callers.rig import make_book

if TYPE_CHECKING:
    from lotushill.contracts.policy import Contract

DONE = Outcome(OutcomeKind.COMPLETED, 200, "completed")


def make_contract(**targets: float) -> Contract:
    """Return the contract of a class with targets."""
    contract = make_book(target=targets).find("pekara", "letters", "desk")
    assert contract is not None
    return contract


def make_progress(first: float, tokens: int) -> Progress:
    """Return the progress of a request that arrived at 100."""
    progress = Progress(100.0)
    progress.first_token_at = 100.0 + first
    progress.transcript.tokens = tokens
    return progress


class TestAttainment(unittest.TestCase):
    @given(first=st.floats(0, 2), gap=st.floats(0, 0.2), tokens=st.integers(1, 50))
    def test_every_target_counts(self, first: float, gap: float, tokens: int) -> None:
        progress = make_progress(first, tokens)
        ended = progress.first_token_at + gap * (tokens - 1)
        taken = ended - 100.0
        for targets, expected in (
            ({"first_token": 1.0}, progress.first_token_at - 100.0 <= 1.0),
            ({"whole": 3.0}, taken <= 3.0),
            ({"first_token": 2.0, "whole": 500.0}, True),
        ):
            found = met_target(make_contract(**targets), DONE, progress, ended)
            self.assertEqual(found, expected, targets)

    def test_slow_tokens_miss_their_target(self) -> None:
        contract = make_contract(between_tokens=0.1)
        self.assertTrue(met_target(contract, DONE, make_progress(1.0, 11), 101.9))
        self.assertFalse(met_target(contract, DONE, make_progress(1.0, 11), 102.1))

    def test_what_was_not_completed_met_nothing(self) -> None:
        for kind in (OutcomeKind.REFUSED, OutcomeKind.FAILED, OutcomeKind.UNKNOWN):
            outcome = Outcome(kind, 503, "x")
            self.assertFalse(met_target(make_contract(), outcome, make_progress(0.1, 5), 101.0))


class TestMetrics(unittest.TestCase):
    def receive(self, outcome: Outcome, **changes: Any) -> str:
        with socket.socket(type=socket.SOCK_DGRAM) as sink:
            sink.bind(("127.0.0.1", 0))
            sink.settimeout(5.0)
            metrics = Metrics(f"127.0.0.1:{sink.getsockname()[1]}")
            headers = [
                (b"authorization", b"Bearer " + KEY.encode()),
                (b"lotushill-service", b"letters"),
                (b"lotushill-class", b"desk"),
            ]
            body = b'{"model": "disputes-8b", "prompt": "x"}'
            book = make_book(target={"first_token": 0.5})
            call = parse_call("0" * 24, "POST", "/v1/completions", b"", headers, body, book)
            progress = make_progress(0.2, 7)
            for name, value in changes.items():
                setattr(progress, name, value)
            metrics.note_outcome(call, outcome, progress, 101.0)
            return sink.recv(4096).decode()

    def test_a_whole_answer(self) -> None:
        lines = self.receive(DONE).split("\n")
        prefix = "lotushill.class.pekara.letters.desk"
        self.assertIn(f"{prefix}.outcome.completed:1|c", lines)
        self.assertIn(f"{prefix}.target.met:1|c", lines)
        self.assertIn(f"{prefix}.good_tokens:7|c", lines)
        self.assertIn(f"{prefix}.wasted_tokens:0|c", lines)

    def test_an_answer_that_was_thrown_away(self) -> None:
        failed = Outcome(OutcomeKind.FAILED, 502, "upstream-broken")
        lines = self.receive(failed, wasted_tokens=7).split("\n")
        prefix = "lotushill.class.pekara.letters.desk"
        self.assertIn(f"{prefix}.target.missed:1|c", lines)
        self.assertIn(f"{prefix}.good_tokens:0|c", lines)
        self.assertIn(f"{prefix}.wasted_tokens:7|c", lines)
