from __future__ import annotations

import unittest
from dataclasses import replace

from lotushill.placement.choice import Choice
from lotushill.placement.choice import NoChoice
from lotushill.placement.fleet import Fleet
from lotushill.placement.messages import Began
from lotushill.placement.messages import Ended
from lotushill.placement.messages import Placed
from lotushill.placement.messages import route_number
from lotushill.placement.need import Need
from lotushill.routing.demand import PromptPart
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import Service
from lotushill.routing.upstream import Upstream
from tests.placement.placing import placed

ENGINE = Service("llm", 100, EngineProfile(32, 400_000, 5))
PLAIN = Service("app", 100, None)
NO_UPSTREAMS: frozenset[str] = frozenset()


def upstreams(service: str, count: int = 3) -> list[Upstream]:
    return [Upstream(f"b{n}", service, f"10.0.0.{n}:80", "z", 4, False) for n in range(count)]


def short(**changes: object) -> Need:
    parts = (PromptPart(1, 200), PromptPart(99, 600))
    need = Need("llm", "chat", 0.25, 0.15, 12.0, True, 800, 250, parts)
    return replace(need, **changes)  # type: ignore[arg-type]


def long(own: int = 50) -> Need:
    parts = (PromptPart(7, 5000), PromptPart(own, 6500))
    return Need("llm", "letter", 2.0, 0.6, 15.0, True, 11_500, 320, parts)


class Driver:
    """Places requests in the way of a gateway."""

    def __init__(self) -> None:
        self.fleet = Fleet("z")
        self.count = 0

    def place(self, need: Need, service: Service, candidates: list[Upstream], now: float) -> str:
        choice = self.fleet.choose(need, service, candidates, NO_UPSTREAMS, now)
        assert isinstance(choice, Choice), choice
        self.count += 1
        request = self.count
        self.fleet.pace(service.name).note_prefill(choice.prefill_tokens)
        self.fleet.start(placed(request, need, choice), service, now)
        return choice.upstream.id

    def place_and_begin(self, need: Need, candidates: list[Upstream], now: float) -> str:
        found = self.place(need, ENGINE, candidates, now)
        self.fleet.begin(Began(self.count), now + 0.03)
        return found


class TestFullEngines(unittest.TestCase):
    """Engines whose slots were held by less urgent requests were treated as empty."""

    def setUp(self) -> None:
        self.driver = Driver()
        self.service = Service("llm", 100, EngineProfile(4, 400_000, 5))
        self.candidates = upstreams("llm", 2)
        for number in range(4):
            need = replace(long(number), tier=2)
            self.driver.place(need, self.service, self.candidates[:1], 0.0)
            self.driver.fleet.begin(Began(number + 1), 0.2)

    def test_an_urgent_request_goes_where_a_slot_is_free(self) -> None:
        found = {self.driver.place(short(), self.service, self.candidates, 0.3) for _ in range(3)}
        self.assertEqual({"b1"}, found)

    def test_predicted_wait_depends_on_the_requests_that_hold_the_slots(self) -> None:
        chosen = self.driver.fleet.choose(
            short(output_tokens=5), self.service, self.candidates[:1], NO_UPSTREAMS, 0.3
        )
        assert isinstance(chosen, Choice)
        min_seconds = self.driver.fleet.load("b0").mean_expected_seconds / 4
        self.assertGreaterEqual(chosen.first_event_seconds, min_seconds)


class TestEngines(unittest.TestCase):
    def test_long_prompts_are_placed_apart_from_streams_with_short_pauses(self) -> None:
        driver = Driver()
        candidates = upstreams("llm")
        driver.place(long(1), ENGINE, candidates, 0.0)
        stream_upstreams = {
            driver.place_and_begin(short(), candidates, 0.05 * n) for n in range(12)
        }
        prompt_upstreams = {driver.place(long(100 + n), ENGINE, candidates, 0.7) for n in range(2)}
        self.assertFalse(stream_upstreams & prompt_upstreams)

    def test_streams_with_short_pauses_are_packed_while_long_prompts_arrive(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 6)
        driver.place(long(1), ENGINE, candidates, 0.0)
        for n in range(10):
            driver.place_and_begin(short(), candidates, 0.05 * n)
        used = {
            item.id
            for item in candidates
            if driver.fleet.load(item.id).streams_by_target_gap.get(short().target_gap)
        }
        self.assertEqual(1, len(used))

    def test_prompt_is_placed_where_its_shared_part_is_cached(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 5)
        first = driver.place(long(1), ENGINE, candidates, 0.0)
        driver.fleet.begin(Began(1), 0.3)
        driver.fleet.end(Ended(1), 0.5)
        self.assertEqual(first, driver.place(long(2), ENGINE, candidates, 2.0))

    def test_shared_part_cached_on_a_full_upstream_is_copied_to_another(self) -> None:
        service = Service(
            "llm", 100, EngineProfile(1, 400_000, 5, token_bytes=160_000, link_rate=3.0e10)
        )
        driver = Driver()
        first = driver.place(long(1), service, upstreams("llm"), 1.0)
        choice = driver.fleet.choose(long(2), service, upstreams("llm"), NO_UPSTREAMS, 1.1)
        assert isinstance(choice, Choice)
        self.assertNotEqual(first, choice.upstream.id)
        assert choice.fetch is not None
        self.assertEqual((first, 5000), (choice.fetch.source.id, choice.fetch.tokens))
        self.assertEqual((0, 6500), (choice.reread_tokens, choice.prefill_tokens))

    def test_slots_of_unreachable_upstreams_do_not_count_as_free(self) -> None:
        driver = Driver()
        need = replace(long(2), tier=2)
        candidates = upstreams("llm", 4)
        driver.place(long(1), ENGINE, candidates, 0.0)
        number = 100
        for item in candidates[:2]:
            for _ in range(22):
                number += 1
                driver.fleet.start(Placed(number, item.id, 0, 700, 0.2, 2.0, 0.0), ENGINE, 0.0)
        found = driver.fleet.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.1)
        self.assertIsInstance(found, Choice)
        for item in candidates[2:]:
            driver.fleet.load(item.id).note_unreachable(0.1)
        found = driver.fleet.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.2)
        self.assertIsInstance(found, NoChoice)

    def test_under_overload_long_prompts_are_refused_and_short_ones_are_not(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 2)
        refused = None
        for n in range(200):
            need = replace(long(n), parts=(PromptPart(n, 11_500),))
            found = driver.fleet.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.0)
            if isinstance(found, NoChoice):
                refused = found
                break
            driver.place(need, ENGINE, candidates, 0.0)
        assert refused is not None
        self.assertGreater(refused.retry_after, 0.0)
        self.assertIsInstance(
            driver.fleet.choose(short(), ENGINE, candidates, NO_UPSTREAMS, 0.0), Choice
        )

    def test_started_gateway_refuses_long_prompts_from_reports_of_others(
        self,
    ) -> None:
        candidates = upstreams("llm", 2)
        started = Fleet("z")
        for n in range(40):
            item = candidates[n % 2]
            message = Placed(n, item.id, 11_500, 11_800, 0.6, 3.0, 0.0, (n,), (11_500,))
            message = replace(message, route=route_number("letter"), prompt=11_500)
            started.start(message, ENGINE, 0.0)
            started.pace("llm").note_prefill(11_500)
        need = replace(long(999), parts=(PromptPart(999, 11_500),))
        self.assertIsInstance(started.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.0), NoChoice)
        found = started.choose(short(target=20.0), ENGINE, candidates, NO_UPSTREAMS, 0.0)
        self.assertIsInstance(found, Choice)

    def test_large_and_small_requests_of_a_route_are_refused_alike(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 2)
        sizes = (2_000, 11_500, 40_000)
        for n in range(300):
            tokens = sizes[n % 3]
            need = replace(long(n), prompt_tokens=tokens, parts=(PromptPart(n, tokens),))
            if isinstance(
                driver.fleet.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.0), NoChoice
            ):
                break
            driver.place(need, ENGINE, candidates, 0.0)
        for tokens in sizes:
            need = replace(long(999), prompt_tokens=tokens, parts=(PromptPart(999, tokens),))
            found = driver.fleet.choose(need, ENGINE, candidates, NO_UPSTREAMS, 0.0)
            self.assertIsInstance(found, NoChoice)

    def test_unreachable_hall_is_avoided_while_another_serves(self) -> None:
        fleet = Fleet("z", is_hall_unreachable=lambda hall: hall == "far")
        near, far = upstreams("llm", 2)
        far = replace(far, hall="far")
        for _ in range(3):
            fleet.load(near.id).failures.note(True, 0.0)
        found = fleet.choose(short(), ENGINE, [near, far], NO_UPSTREAMS, 0.0)
        assert isinstance(found, Choice)
        self.assertEqual(near.id, found.upstream.id)
        only_choice = fleet.choose(short(), ENGINE, [far], NO_UPSTREAMS, 0.0)
        self.assertIsInstance(only_choice, Choice)

    def test_failing_upstream_is_avoided_until_its_failures_decay(self) -> None:
        driver = Driver()
        candidates = upstreams("llm", 2)
        for _ in range(6):
            driver.fleet.load("b0").failures.note(True, 0.0)
        found = driver.fleet.choose(short(), ENGINE, candidates, NO_UPSTREAMS, 0.1)
        assert isinstance(found, Choice)
        self.assertEqual("b1", found.upstream.id)
        self.assertLess(driver.fleet.load("b0").failures.rate(60.0), 0.1)

    def test_nothing_is_chosen_among_excluded_upstreams(self) -> None:
        found = Fleet("z").choose(short(), ENGINE, upstreams("llm", 1), frozenset({"b0"}), 0.0)
        self.assertIsInstance(found, NoChoice)

    def test_unreachable_upstreams_are_tried_if_there_are_no_others(self) -> None:
        fleet = Fleet("z")
        for item in upstreams("llm"):
            fleet.load(item.id).note_unreachable(0.0)
        found = fleet.choose(short(), ENGINE, upstreams("llm"), NO_UPSTREAMS, 0.0)
        self.assertIsInstance(found, Choice)


class TestPlainServices(unittest.TestCase):
    def test_requests_are_spread_by_running_requests(self) -> None:
        driver = Driver()
        candidates = upstreams("app", 3)
        need = Need("app", "note", 0.4, 0.0, 1.5, False, 0, 0, ())
        for _ in range(9):
            driver.place(need, PLAIN, candidates, 0.0)
        self.assertEqual(
            [3, 3, 3], [len(driver.fleet.load(item.id).running) for item in candidates]
        )
