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
NOTHING: frozenset[str] = frozenset()


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
    """Places requests as a gateway does."""

    def __init__(self) -> None:
        self.fleet = Fleet("z")
        self.count = 0

    def place(self, need: Need, service: Service, among: list[Upstream], now: float) -> str:
        choice = self.fleet.choose(need, service, among, NOTHING, now)
        assert isinstance(choice, Choice), choice
        self.count += 1
        request = self.count
        self.fleet.pace(service.name).note_prefill(choice.prefill_tokens)
        self.fleet.start(placed(request, need, choice), service, now)
        return choice.upstream.id

    def place_and_begin(self, need: Need, among: list[Upstream], now: float) -> str:
        found = self.place(need, ENGINE, among, now)
        self.fleet.begin(Began(self.count), now + 0.03)
        return found


class TestFullEngines(unittest.TestCase):
    """Engines whose slots are held by less urgent requests were taken for empty ones."""

    def setUp(self) -> None:
        self.driver = Driver()
        self.service = Service("llm", 100, EngineProfile(4, 400_000, 5))
        self.among = upstreams("llm", 2)
        for number in range(4):
            need = replace(long(number), tier=2)
            self.driver.place(need, self.service, self.among[:1], 0.0)
            self.driver.fleet.begin(Began(number + 1), 0.2)

    def test_an_urgent_request_goes_where_a_slot_is_free(self) -> None:
        found = {self.driver.place(short(), self.service, self.among, 0.3) for _ in range(3)}
        self.assertEqual({"b1"}, found)

    def test_its_wait_is_told_by_those_who_hold_the_slots(self) -> None:
        chosen = self.driver.fleet.choose(
            short(output_tokens=5), self.service, self.among[:1], NOTHING, 0.3
        )
        assert isinstance(chosen, Choice)
        held = self.driver.fleet.load("b0").mean_expected_seconds / 4
        self.assertGreaterEqual(chosen.first_event_seconds, held)


class TestEngines(unittest.TestCase):
    def test_long_prompts_stay_away_from_streams_with_short_pauses(self) -> None:
        driver = Driver()
        among = upstreams("llm")
        driver.place(long(1), ENGINE, among, 0.0)
        delicate = {driver.place_and_begin(short(), among, 0.05 * n) for n in range(12)}
        far = {driver.place(long(100 + n), ENGINE, among, 0.7) for n in range(2)}
        self.assertFalse(delicate & far)

    def test_streams_with_short_pauses_go_together_while_long_prompts_come(self) -> None:
        driver = Driver()
        among = upstreams("llm", 6)
        driver.place(long(1), ENGINE, among, 0.0)
        for n in range(10):
            driver.place_and_begin(short(), among, 0.05 * n)
        used = {
            item.id
            for item in among
            if driver.fleet.load(item.id).streams_by_target_gap.get(short().target_gap)
        }
        self.assertEqual(1, len(used))

    def test_a_prompt_goes_where_its_shared_part_is_kept(self) -> None:
        driver = Driver()
        among = upstreams("llm", 5)
        first = driver.place(long(1), ENGINE, among, 0.0)
        driver.fleet.begin(Began(1), 0.3)
        driver.fleet.end(Ended(1), 0.5)
        self.assertEqual(first, driver.place(long(2), ENGINE, among, 2.0))

    def test_a_shared_part_kept_on_a_full_upstream_is_copied_to_another(self) -> None:
        service = Service(
            "llm", 100, EngineProfile(1, 400_000, 5, token_bytes=160_000, link_rate=3.0e10)
        )
        driver = Driver()
        first = driver.place(long(1), service, upstreams("llm"), 1.0)
        choice = driver.fleet.choose(long(2), service, upstreams("llm"), NOTHING, 1.1)
        assert isinstance(choice, Choice)
        self.assertNotEqual(first, choice.upstream.id)
        assert choice.fetch is not None
        self.assertEqual((first, 5000), (choice.fetch.source.id, choice.fetch.tokens))
        self.assertEqual((0, 6500), (choice.reread_tokens, choice.prefill_tokens))

    def test_slots_of_upstreams_out_of_reach_are_not_left_for_anybody(self) -> None:
        driver = Driver()
        need = replace(long(2), tier=2)
        among = upstreams("llm", 4)
        driver.place(long(1), ENGINE, among, 0.0)
        number = 100
        for item in among[:2]:
            for _ in range(22):
                number += 1
                driver.fleet.start(Placed(number, item.id, 0, 700, 0.2, 2.0, 0.0), ENGINE, 0.0)
        found = driver.fleet.choose(need, ENGINE, among, NOTHING, 0.1)
        self.assertIsInstance(found, Choice)
        for item in among[2:]:
            driver.fleet.load(item.id).note_unreachable(0.1)
        found = driver.fleet.choose(need, ENGINE, among, NOTHING, 0.2)
        self.assertIsInstance(found, NoChoice)

    def test_under_overload_long_prompts_are_refused_and_short_ones_are_not(self) -> None:
        driver = Driver()
        among = upstreams("llm", 2)
        refused = None
        for n in range(200):
            need = replace(long(n), parts=(PromptPart(n, 11_500),))
            found = driver.fleet.choose(need, ENGINE, among, NOTHING, 0.0)
            if isinstance(found, NoChoice):
                refused = found
                break
            driver.place(need, ENGINE, among, 0.0)
        assert refused is not None
        self.assertGreater(refused.retry_after, 0.0)
        self.assertIsInstance(driver.fleet.choose(short(), ENGINE, among, NOTHING, 0.0), Choice)

    def test_a_gateway_that_has_just_started_refuses_long_prompts_by_what_others_place(
        self,
    ) -> None:
        among = upstreams("llm", 2)
        started = Fleet("z")
        for n in range(40):
            item = among[n % 2]
            told = Placed(n, item.id, 11_500, 11_800, 0.6, 3.0, 0.0, (n,), (11_500,))
            told = replace(told, route=route_number("letter"), prompt=11_500)
            started.start(told, ENGINE, 0.0)
            started.pace("llm").note_prefill(11_500)
        need = replace(long(999), parts=(PromptPart(999, 11_500),))
        self.assertIsInstance(started.choose(need, ENGINE, among, NOTHING, 0.0), NoChoice)
        found = started.choose(short(target=20.0), ENGINE, among, NOTHING, 0.0)
        self.assertIsInstance(found, Choice)

    def test_large_and_small_ones_of_a_route_are_refused_alike(self) -> None:
        driver = Driver()
        among = upstreams("llm", 2)
        sizes = (2_000, 11_500, 40_000)
        for n in range(300):
            tokens = sizes[n % 3]
            need = replace(long(n), prompt_tokens=tokens, parts=(PromptPart(n, tokens),))
            if isinstance(driver.fleet.choose(need, ENGINE, among, NOTHING, 0.0), NoChoice):
                break
            driver.place(need, ENGINE, among, 0.0)
        for tokens in sizes:
            need = replace(long(999), prompt_tokens=tokens, parts=(PromptPart(999, tokens),))
            found = driver.fleet.choose(need, ENGINE, among, NOTHING, 0.0)
            self.assertIsInstance(found, NoChoice)

    def test_a_hall_that_is_cut_off_is_passed_over_while_another_serves(self) -> None:
        fleet = Fleet("z", is_cut_off=lambda hall: hall == "far")
        near, far = upstreams("llm", 2)
        far = replace(far, hall="far")
        for _ in range(3):
            fleet.load(near.id).failures.note(True, 0.0)
        found = fleet.choose(short(), ENGINE, [near, far], NOTHING, 0.0)
        assert isinstance(found, Choice)
        self.assertEqual(near.id, found.upstream.id)
        alone = fleet.choose(short(), ENGINE, [far], NOTHING, 0.0)
        self.assertIsInstance(alone, Choice)

    def test_an_upstream_that_fails_is_passed_over_and_forgiven(self) -> None:
        driver = Driver()
        among = upstreams("llm", 2)
        for _ in range(6):
            driver.fleet.load("b0").failures.note(True, 0.0)
        found = driver.fleet.choose(short(), ENGINE, among, NOTHING, 0.1)
        assert isinstance(found, Choice)
        self.assertEqual("b1", found.upstream.id)
        self.assertLess(driver.fleet.load("b0").failures.rate(60.0), 0.1)

    def test_nothing_is_chosen_among_excluded_upstreams(self) -> None:
        found = Fleet("z").choose(short(), ENGINE, upstreams("llm", 1), frozenset({"b0"}), 0.0)
        self.assertIsInstance(found, NoChoice)

    def test_a_fleet_that_cannot_be_reached_is_tried_all_the_same(self) -> None:
        fleet = Fleet("z")
        for item in upstreams("llm"):
            fleet.load(item.id).note_unreachable(0.0)
        found = fleet.choose(short(), ENGINE, upstreams("llm"), NOTHING, 0.0)
        self.assertIsInstance(found, Choice)


class TestPlainServices(unittest.TestCase):
    def test_requests_are_spread_by_what_runs(self) -> None:
        driver = Driver()
        among = upstreams("app", 3)
        need = Need("app", "note", 0.4, 0.0, 1.5, False, 0, 0, ())
        for _ in range(9):
            driver.place(need, PLAIN, among, 0.0)
        self.assertEqual([3, 3, 3], [len(driver.fleet.load(item.id).running) for item in among])
