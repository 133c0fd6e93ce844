from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from lotushill.routing.exceptions import InvalidTableError
from lotushill.routing.limits import ClientLimits
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.service import Service
from lotushill.routing.table import RoutingTable
from lotushill.routing.team import Team
from lotushill.routing.urgency import Urgency

HOST = "a.example"
SERVICE = Service("s", 10, None)


def route(prefix: str, host: str = HOST, services: tuple[WeightedService, ...] = ()) -> Route:
    return Route(
        name=f"{host}{prefix}",
        host=host,
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        services=services or (WeightedService("s", 1.0),),
        timeout=1.0,
        target=0.5,
        target_gap=0.0,
        urgency=Urgency(0),
        max_attempts=2,
        public=False,
        resumable=False,
    )


def table(*routes: Route) -> RoutingTable:
    return RoutingTable(1, routes, [SERVICE], [Team("t", ("key",), None)], ClientLimits())


_PATHS = st.lists(st.sampled_from("ab"), max_size=4).map(lambda parts: "/".join(["", *parts, ""]))


class TestRoutingTable(unittest.TestCase):
    @given(st.sets(_PATHS, max_size=8), _PATHS, st.sampled_from(["", "x", "x/y"]))
    def test_the_longest_prefix_wins(self, prefixes: set[str], path: str, rest: str) -> None:
        found = table(*(route(prefix) for prefix in prefixes)).find_route(HOST, path + rest)
        fitting = [prefix for prefix in prefixes if (path + rest).startswith(prefix)]
        expected = max(fitting, key=len, default=None)
        self.assertEqual(expected, found.path_prefix if found else None)

    def test_another_host_has_no_route(self) -> None:
        self.assertIsNone(table(route("/a/")).find_route("b.example", "/a/x"))

    def test_hosts_are_case_insensitive(self) -> None:
        self.assertIsNotNone(table(route("/a/")).find_route("A.Example", "/a/x"))

    def test_only_its_keys_identify_a_team(self) -> None:
        found = table(route("/a/")).team("key")
        self.assertEqual("t", found.name if found else None)
        self.assertIsNone(table(route("/a/")).team("other"))

    def test_route_to_an_undefined_service_is_an_error_with_its_path(self) -> None:
        with self.assertRaises(InvalidTableError) as caught:
            table(route("/a/", services=(WeightedService("gone", 1.0),)))
        self.assertIn("/a/", caught.exception.path)


class TestWeightedServices(unittest.TestCase):
    @given(st.lists(st.integers(0, 100), min_size=1, max_size=5))
    def test_each_service_gets_requests_by_its_weight(self, weights: list[int]) -> None:
        services = tuple(WeightedService(str(i), w) for i, w in enumerate(weights))
        if not sum(weights):
            return
        split = route("/a/", services=services)
        points = 1000
        got = [split.service_for(i / points) for i in range(points)]
        for index, weight in enumerate(weights):
            expected = points * weight / sum(weights)
            self.assertLessEqual(abs(got.count(str(index)) - expected), 2)
