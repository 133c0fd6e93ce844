"""Configuration of the soak test's routes and service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from tests.console.gateway_program import SPEC
from tests.soak.records import LONG_DEADLINE_SECONDS
from tests.soak.run_memory import LONG_PATH


@dataclass(frozen=True)
class MovesOptions:
    """Kinds of faults and clients in a run with moves."""

    late_stops: bool = True
    """Whether calls may arrive at a run long after their timeout, and after later calls."""
    patient: bool = False
    """Whether the route of long streams states a target by which clients wait for an event until
    their deadline, as they do. Else a gateway may assume that they leave after two seconds."""


_PATIENT_TARGET_MS = 2_000
"""Target latency by which a gateway assumes that clients wait for an event for eight seconds."""
MOVES_SLOTS = 16
"""Slots of engines that move memory, among which a target with room is found most of the time."""
_ENGINE = {
    "slots": MOVES_SLOTS,
    "kvCapacity": 100_000,
    "stride": 1,
    "kvTokenBytes": 1_000,
    "linkMbps": 100,
    "moves": True,
}
"""Profile of engines that move memory, of which the largest copy takes about 20 ms."""

MOVES_GATEWAY_SETTINGS: dict[str, object] = {
    "grace_seconds": LONG_DEADLINE_SECONDS + 2.0,
    "retry": {"ratio": 0.2, "slack": 100, "window_seconds": 2},
}
"""Settings of gateways in a run with moves. A planned shutdown gives every long stream its time, so
that it truncates none. In its first window a gateway has hardly any retries, so that in a
longer one most runs could not be moved."""


def soak_configuration(version: int, moves: MovesOptions | None) -> dict[str, Any]:
    """Return the configuration; with `moves`, engines move the memory of streams that run once."""
    route: dict[str, Any] = SPEC["routes"][0]  # type: ignore[index]
    idempotent = {**route, "kind": "idempotent", "maxAttempts": 3}
    once = {**route, "name": "once", "pathPrefix": "/once/"}
    stream = {
        **idempotent,
        "name": "stream",
        "pathPrefix": "/stream/",
        "kind": "stream",
        "streamResume": True,
    }
    spec = {**SPEC, "version": version, "routes": [idempotent, once, stream]}
    if moves is None:
        return spec
    long = {
        **route,
        "name": "long",
        "pathPrefix": LONG_PATH,
        "kind": "stream",
        "streamResume": False,
        "timeoutMs": 20_000,
    }
    if moves.patient:
        long["targetLatencyMs"] = _PATIENT_TARGET_MS
    service: dict[str, Any] = SPEC["services"][0]  # type: ignore[index]
    spec["routes"] = [idempotent, once, stream, long]
    spec["services"] = [{**service, "engine": _ENGINE}]
    return spec
