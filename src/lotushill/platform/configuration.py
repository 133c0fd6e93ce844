"""Parses the platform's configuration object into a routing table."""

from __future__ import annotations

from typing import Any

from lotushill.routing.exceptions import InvalidTableError
from lotushill.routing.limits import ClientLimits
from lotushill.routing.route import Route
from lotushill.routing.route import RouteKind
from lotushill.routing.route import WeightedService
from lotushill.routing.service import EngineProfile
from lotushill.routing.service import ScalingProfile
from lotushill.routing.service import Service
from lotushill.routing.table import RoutingTable
from lotushill.routing.team import Team
from lotushill.routing.urgency import Urgency

_MS = 1000.0
_BYTES_PER_MEGABIT = 125_000.0


def parse_table(spec: Any) -> RoutingTable:
    """Parse the `spec` of a configuration; raise InvalidTableError if it is invalid."""
    try:
        return RoutingTable(
            int(spec["version"]),
            [_route(item) for item in spec.get("routes") or ()],
            [_service(item) for item in spec.get("services") or ()],
            [_team(item) for item in spec.get("tenants") or ()],
            _limits(spec.get("limits") or {}),
        )
    except KeyError as error:
        raise InvalidTableError(str(error.args[0]), "is missing") from error
    except (TypeError, ValueError, AttributeError, OverflowError, RecursionError) as error:
        raise InvalidTableError("spec", str(error)) from error


def _route(item: dict[str, Any]) -> Route:
    return Route(
        name=str(item["name"]),
        host=str(item["host"]),
        path_prefix=str(item["pathPrefix"]),
        kind=RouteKind(item["kind"]),
        services=_services(item),
        timeout=float(item["timeoutMs"]) / _MS,
        target=float(item.get("targetLatencyMs") or item["timeoutMs"]) / _MS,
        target_gap=float(item.get("targetGapMs") or 0.0) / _MS,
        urgency=Urgency(int(item.get("priority") or 0)),
        max_attempts=max(1, int(item.get("maxAttempts") or 1)),
        public=bool(item.get("public")),
        resumable=bool(item.get("streamResume")),
    )


def _services(item: dict[str, Any]) -> tuple[WeightedService, ...]:
    split = item.get("backends")
    if split:
        return tuple(WeightedService(str(part["service"]), float(part["weight"])) for part in split)
    return (WeightedService(str(item["service"]), 1.0),)


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    scaling = item.get("autoscale")
    return Service(
        name=str(item["name"]),
        max_connections=int(item.get("maxConns") or 64),
        engine=_engine(engine) if engine else None,
        scaling=_scaling(scaling) if scaling else None,
    )


def _scaling(item: dict[str, Any]) -> ScalingProfile:
    price = item.get("spotPrice")
    return ScalingProfile(
        min_engines=max(0, int(item.get("min") or 0)),
        max_engines=int(item["max"]),
        reclaimable_price=None if price is None else float(price),
        boot_seconds=float(item.get("bootS", ScalingProfile.boot_seconds)),
        hall_prices=tuple((str(hall), float(v)) for hall, v in item.get("zonePrices", {}).items()),
    )


def _engine(item: dict[str, Any]) -> EngineProfile:
    return EngineProfile(
        slots=int(item["slots"]),
        memory_tokens=int(item["kvCapacity"]),
        tokens_per_event=int(item.get("stride") or 1),
        token_bytes=int(item.get("kvTokenBytes") or 0),
        link_rate=_link_rate(item),
        can_back_up_memory=bool(item.get("backups")),
    )


def _link_rate(item: dict[str, Any]) -> float:
    """Return the bytes per second between engines, 0 if they do not transfer KV memory."""
    if not item.get("moves") or not item.get("kvTokenBytes"):
        return 0.0
    return float(item.get("linkMbps") or 0.0) * _BYTES_PER_MEGABIT


def _team(item: dict[str, Any]) -> Team:
    priority = item.get("priority")
    return Team(
        name=str(item["name"]),
        api_keys=tuple(str(key) for key in item.get("apiKeys") or ()),
        priority=None if priority is None else int(priority),
    )


def _limits(item: dict[str, Any]) -> ClientLimits:
    default = ClientLimits()
    return ClientLimits(
        header_bytes=int(item.get("maxHeaderBytes", default.header_bytes)),
        body_bytes=int(item.get("maxBodyBytes", default.body_bytes)),
        header_seconds=float(item.get("headerTimeoutMs", default.header_seconds * _MS)) / _MS,
        idle_seconds=float(item.get("idleTimeoutMs", default.idle_seconds * _MS)) / _MS,
    )
