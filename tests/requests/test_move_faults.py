"""Each step of a move fails in each way, alone and together with another step.

The request path is the real one; upstreams and network are simulated in virtual time, so that the
result does not depend on the load of the machine. A fault costs the client its answer only if no
upstream holds the run any more, and none leaves memory, a retry or a second execution behind.
"""

from __future__ import annotations

import itertools
import logging
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from tests.requests.move_faults import CALL_FAULTS
from tests.requests.move_faults import RUN_FAULTS
from tests.requests.move_invariants import violations
from tests.requests.virtual_network import LATENCY_SECONDS
from tests.requests.virtual_site import VirtualSite
from tests.virtual_time import run_virtually

if TYPE_CHECKING:
    from collections.abc import Iterable

_SILENT = ("silent", "late")
_RESET = ("reset, always",)
_OWN_STOPS = ("late", "closed")
"""Faults with tests of their own below."""
_STOPS = [name for name in CALL_FAULTS if name not in _OWN_STOPS]
_RUNS = [name for name in RUN_FAULTS if name not in (*_SILENT, *_RESET)]
_COOLDOWN_SECONDS = 0.2
"""Cooldown that ends before a stream that may be resumed goes on without its memory."""

_PATIENCE_SECONDS = 1.6
"""Time without an event after which a stopped run may not be asked for any more: the 2 s for which
the client waits without the longest pause between two tries."""


@dataclass(frozen=True)
class Faults:
    """What fails during one move."""

    copy: str = "copied"
    stop: str = "copied"
    target: str = "accepted"
    source: str = "accepted"
    resumable: bool = False
    hides_stream_end: bool = False
    slack: float = 100.0

    def site(self) -> VirtualSite:
        """Return the upstreams that fail like this."""
        site = VirtualSite(self.resumable, self.slack)
        site.source.copies = list(CALL_FAULTS[self.copy])
        site.source.stops = list(CALL_FAULTS[self.stop])
        site.source.continuations = list(RUN_FAULTS[self.source])
        site.source.hides_stream_end = self.hides_stream_end
        for other in site.others:
            other.continuations = list(RUN_FAULTS[self.target])
        return site

    def violations(self) -> list[str]:
        """Return the promises that a move with these faults breaks."""
        site = self.site()
        run_virtually(site.play())
        return violations(site)


def all_violations(cases: Iterable[Faults]) -> list[str]:
    """Return the broken promises of each case that breaks any."""
    found = ((case, case.violations()) for case in cases)
    return [f"{case}: {', '.join(broken)}" for case, broken in found if broken]


_FAULTS = st.builds(
    Faults,
    st.sampled_from(list(CALL_FAULTS)),
    st.sampled_from(_STOPS),
    st.sampled_from(_RUNS),
    st.sampled_from(_RUNS),
    st.booleans(),
    st.booleans(),
)
_STEPS = st.sampled_from(["copy", "stop", "continue"])
_SECONDS = st.floats(0.0, 0.6)


class MoveTestCase(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def play(self, site: VirtualSite) -> None:
        """Play a move, and assert that it keeps all promises."""
        run_virtually(site.play())
        self.assertEqual([], violations(site))


class TestMoveFaults(MoveTestCase):
    def test_without_a_fault_the_run_is_moved(self) -> None:
        site = Faults().site()
        self.play(site)
        self.assertTrue(site.client.whole)
        self.assertEqual(([False, True], 2), (site.source.calls, site.arrivals()))

    def test_the_client_leaves_while_a_lost_source_is_checked(self) -> None:
        """The stream is lost during the copy, which succeeds after the client has left."""
        for half_latencies in range(12):
            with self.subTest(half_latencies=half_latencies):
                site = Faults().site()
                site.source.stalls_after = 10
                site.at_step("copy", 0.0, site.source.reset_streams)
                site.at_step("copy", half_latencies * LATENCY_SECONDS / 2, site.leave)
                self.play(site)

    def test_each_fault_alone(self) -> None:
        cases = [
            *(Faults(copy=name) for name in CALL_FAULTS),
            *(Faults(stop=name, hides_stream_end=hide)
              for name in _STOPS for hide in (False, True)),
            *(Faults(target=name) for name in _RUNS),
            *(Faults(copy=name, resumable=True) for name in CALL_FAULTS),
            *(Faults(stop=name, resumable=True) for name in _STOPS),
            *(Faults(target=name, resumable=True) for name in _RUNS),
        ]  # fmt: skip
        self.assertEqual([], all_violations(cases))

    def test_a_stop_that_takes_effect_after_its_timeout_does_no_harm(self) -> None:
        cases = [Faults(stop="late", resumable=resumable) for resumable in (False, True)]
        self.assertEqual([], all_violations(cases))

    def test_each_fault_of_the_stop_with_each_fault_of_the_target(self) -> None:
        pairs = itertools.product(_STOPS, _RUNS)
        cases = [Faults(stop=stop, target=target) for stop, target in pairs]
        self.assertEqual([], all_violations(cases))

    def test_each_fault_of_the_target_with_each_fault_of_the_source(self) -> None:
        pairs = itertools.product(_RUNS, _RUNS)
        cases = [Faults(target=target, source=source) for target, source in pairs]
        self.assertEqual([], all_violations(cases))

    @given(_FAULTS.filter(lambda faults: not (faults.resumable and faults.target == "cooldown")))
    def test_faults_at_all_steps_at_once(self, faults: Faults) -> None:
        self.play(faults.site())

    @given(_FAULTS)
    def test_a_stalled_run_is_moved_with_faults_at_all_steps(self, faults: Faults) -> None:
        site = Faults(faults.copy, faults.stop, faults.target, faults.source).site()
        site.source.stalls_after = 10
        run_virtually(site.play())
        self.assertEqual([], violations(site, _PATIENCE_SECONDS))

    @given(_FAULTS, _STEPS, _SECONDS)
    def test_the_client_leaves_meanwhile(self, faults: Faults, step: str, seconds: float) -> None:
        site = faults.site()
        site.at_step(step, seconds, site.leave)
        self.play(site)

    @given(_FAULTS, st.sampled_from([0.0, 1.3, 2.6, 4.0]))
    def test_few_retries_are_left(self, faults: Faults, slack: float) -> None:
        site = Faults(
            faults.copy, faults.stop, faults.target, faults.source, slack=slack
        ).site()  # fmt: skip
        self.play(site)

    @given(_FAULTS, _STEPS, _SECONDS)
    def test_all_upstreams_begin_to_leave_meanwhile(
        self, faults: Faults, step: str, seconds: float
    ) -> None:
        site = Faults(faults.copy, faults.stop, faults.target, faults.source).site()
        site.at_step(step, seconds, lambda: site.mark_leaving((0, 1, 2), 3))
        self.play(site)

    @given(_FAULTS, _STEPS, _SECONDS)
    def test_all_upstreams_ask_for_a_cooldown_meanwhile(
        self, faults: Faults, step: str, seconds: float
    ) -> None:
        site = Faults(faults.copy, faults.stop, faults.target, faults.source).site()
        site.at_step(step, seconds, lambda: site.start_cooldowns(_COOLDOWN_SECONDS))
        self.play(site)

    @given(_FAULTS, st.sampled_from([(0, 1), (0, 2)]), _SECONDS)
    def test_the_target_begins_to_leave_after_the_run_has_reached_it(
        self, faults: Faults, leaving: tuple[int, ...], seconds: float
    ) -> None:
        site = Faults(faults.copy, faults.stop, faults.target, faults.source).site()
        for other in site.others:
            other.copies, other.stops = list(site.source.copies), list(site.source.stops)
        site.at_step("continue", seconds, lambda: site.mark_leaving(leaving, 3))
        self.play(site)


class TestUpstreamsThatAcceptNoMemory(MoveTestCase):
    def test_a_run_whose_target_is_silent_returns_to_its_source(self) -> None:
        """The target receives the request with the handle, and sends no head of an answer."""
        self.assertEqual([], all_violations([Faults(target="silent")]))

    def test_a_resumable_run_whose_target_is_silent_returns_to_its_source(self) -> None:
        """The target counts as silent, and the attempt uses up those of the request."""
        cases = [Faults(target=name, resumable=True) for name in _SILENT]
        self.assertEqual([], all_violations(cases))

    def test_a_run_whose_target_resets_each_request_returns_to_its_source(self) -> None:
        """Each lost connection postpones the time from which the source may be asked."""
        self.assertEqual([], all_violations([Faults(target="reset, always")]))

    def test_a_resumable_run_whose_target_resets_each_request_returns_to_its_source(self) -> None:
        """The wait for memory ends before the source may be asked after a lost connection."""
        self.assertEqual([], all_violations([Faults(target="reset, always", resumable=True)]))

    def test_a_run_whose_source_resets_each_request_continues_at_its_target(self) -> None:
        """The target refuses the run for a moment, in which the source is asked."""
        cases = [Faults(target=name, source="reset, always") for name in ("not run", "cooldown")]
        self.assertEqual([], all_violations(cases))

    def test_a_resumable_run_waits_for_its_target_if_it_cannot_be_resumed(self) -> None:
        """The source ends or fails meanwhile, which uses up the attempts of the request."""
        sources = ("failed, always", "crash", "closed")
        cases = [Faults(target="cooldown", source=name, resumable=True) for name in sources]
        self.assertEqual([], all_violations(cases))

    def test_a_source_that_accepts_no_connections_any_more_completes_its_stream(self) -> None:
        """It resets the call that is to stop the run, and refuses the connections for others."""
        cases = [Faults(stop="closed"), Faults(stop="closed", target="not run, always")]
        self.assertEqual([], all_violations(cases))
