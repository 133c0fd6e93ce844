"""The commands of `lotushill` that ask the gateways of a fleet."""

from __future__ import annotations

import json
import statistics
from collections import Counter
from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import anyio
import httpcore

from lotushill.console.program import EXIT_FAILED
from lotushill.console.program import EXIT_OK
from lotushill.console.result import Result
from lotushill.gateway.status_app import EXPLAIN_PATH
from lotushill.gateway.status_app import STATUS_PATH
from lotushill.peering.registration import KIND

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

    from lotushill.platform.object_store import ObjectStore

_ANSWER_SECONDS = 2.0
_WATCH_SECONDS = 1.0
_OK = 200


@dataclass(frozen=True)
class RegisteredGateway:
    """Where a gateway tells its status."""

    name: str
    hall: str
    status: str
    """IP:PORT."""


class FleetCommands:
    """The commands against the gateways that registered in one store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def status(self, options: argparse.Namespace) -> Result:
        """Show what is in force at each gateway; exit code 1 unless all agree."""
        seen = ""
        while True:
            result = await self._status()
            if not options.watch:
                return result
            if result.text != seen:
                seen = result.text
                print(seen, flush=True)
            await anyio.sleep(_WATCH_SECONDS)

    async def explain(self, options: argparse.Namespace) -> Result:
        """Tell what happened to a request, from the gateway that it came through."""
        answers = await self._ask_all(EXPLAIN_PATH + options.request)
        for name, events in answers.items():
            if events:
                lines = [f"{name}:", *(_event_line(item) for item in events)]
                return Result("\n".join(lines), {"gateway": name, "events": events})
        return Result(f"no gateway remembers request {options.request}", None, EXIT_FAILED)

    async def _status(self) -> Result:
        gateways = await self._gateways()
        answers = await self._ask_all(STATUS_PATH)
        rows = {item.name: answers.get(item.name) for item in gateways}
        silent = [name for name, row in rows.items() if row is None]
        held = {json.dumps(_in_force(row)) for row in rows.values() if row}
        agree = len(held) == 1 and not silent
        lines = [
            f"{len(rows) - len(silent)} of {len(rows)} gateways answer"
            + (", all with the same in force" if agree else "")
        ]
        lines += duty_lines(rows) + limit_lines(rows) + share_lines(rows)
        lines += waiting_lines(rows) + pace_lines(rows)
        lines += [_status_line(item, rows[item.name]) for item in gateways]
        return Result("\n".join(lines), rows, EXIT_OK if agree else EXIT_FAILED)

    async def _gateways(self) -> list[RegisteredGateway]:
        listed = await self._store.list_kind(KIND)
        return [
            RegisteredGateway(item.name, str(item.spec.get("hall")), str(item.spec["status"]))
            for item in listed.objects
            if isinstance(item.spec, dict) and item.spec.get("status")
        ]

    async def _ask_all(self, path: str) -> dict[str, Any]:
        """Return what each gateway answers, None for those that give no good answer."""
        answers: dict[str, Any] = {}

        async def ask(gateway: RegisteredGateway) -> None:
            answers[gateway.name] = await _ask(pool, gateway.status, path)

        async with httpcore.AsyncConnectionPool() as pool, anyio.create_task_group() as group:
            for gateway in await self._gateways():
                group.start_soon(ask, gateway)
        return answers


async def _ask(pool: httpcore.AsyncConnectionPool, address: str, path: str) -> Any:
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_SECONDS)
    try:
        response = await pool.request(
            "GET", f"http://{address}{path}", extensions={"timeout": timeout}
        )
        return json.loads(response.content) if response.status == _OK else None
    except (
        httpcore.NetworkError,
        httpcore.TimeoutException,
        httpcore.ProtocolError,
        ValueError,
    ):
        return None


def _in_force(status: dict[str, Any]) -> list[Any]:
    return [status["configuration"]["revision"], status["settings"]["in_force"]]


def duty_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return who does the duties of the fleet, and what was last ordered, by gateways' status."""
    duties = {name: row["duties"] for name, row in rows.items() if row and row.get("duties")}
    if not duties:
        return []
    holders = [name for name, item in duties.items() if item["held_here"]]
    if not holders:
        return ["duties: nobody says that it holds them"]
    lines = []
    for name in holders:
        item = duties[name]
        lines.append(
            f"duties: held by {name} for {item['seconds']:.0f} s with token {item['token']}, "
            f"usage recorded up to window {item['settled_window']}, "
            f"{len(item['unreported'])} not yet reported"
        )
        lines += [
            f"  {place}: {engines['ordinary']} engines, {engines['reclaimable']} reclaimable"
            for place, engines in item["orders"].items()
        ]
    return lines


def limit_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the limits that upstreams name, and at how many gateways each is known."""
    told = [row["upstreams"].get("limited", {}) for row in rows.values() if row]
    known = Counter((name, rate) for limits in told for name, rate in limits.items())
    return [
        f"limit: {name} takes {rate:g} requests a second from all gateways, as {count} of "
        f"{len(told)} know"
        for (name, rate), count in sorted(known.items())
    ]


def share_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the teams that have had more than their share, and what most gateways see of it."""
    seen: dict[tuple[str, int, str], list[float]] = {}
    for row in rows.values():
        for item in row.get("over_share", ()) if row else ():
            key = (item["service"], item["tier"], item["team"])
            seen.setdefault(key, []).append(item["times"])
    return [
        f"share: {team or 'no team'} has had up to {max(times):.1f} times the mean of the other "
        f"teams of {service}, tier {tier}, as {len(times)} gateways see"
        for (service, tier, team), times in sorted(seen.items())
    ]


def waiting_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return how many requests wait for room at all gateways together, a line for each service."""
    waiting: dict[str, Counter[str]] = {}
    for row in rows.values():
        for service, tiers in (row or {}).get("waiting", {}).get("tiers", {}).items():
            waiting.setdefault(service, Counter()).update(tiers)
    return [
        f"waiting for room: {service} {sum(tiers.values())} ("
        + ", ".join(f"tier {tier}: {count}" for tier, count in sorted(tiers.items()))
        + ")"
        for service, tiers in sorted(waiting.items())
    ]


def pace_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the upstreams that differ from their like for good, and how many gateways say so."""
    told = [row["upstreams"].get("paces", {}) for row in rows.values() if row]
    said: defaultdict[str, list[list[float]]] = defaultdict(list)
    for paces in told:
        for name, pace in paces.items():
            said[name].append(pace)
    return [
        f"pace: {name} takes {statistics.median(steps for steps, _ in paces):.2f} times as long as "
        f"its like for a step, and its readings "
        f"{statistics.median(reading for _, reading in paces):.2f} times as long beside that, as "
        f"{len(paces)} of {len(told)} know"
        for name, paces in sorted(said.items())
    ]


def _status_line(gateway: RegisteredGateway, status: dict[str, Any] | None) -> str:
    if status is None:
        return f"{gateway.name} ({gateway.hall}): no answer"
    line = (
        f"{gateway.name} ({gateway.hall}): {'ready' if status['ready'] else 'not ready'}, "
        f"configuration version {status['configuration']['version']}, "
        f"settings {status['settings']['in_force']}, "
        f"{len(status['upstreams']['known'])} upstreams, {len(status['members'])} members, "
        f"{status['in_progress']} in progress, "
        f"{status.get('places_kept', 0)} awaited back"
    )
    faults = [f"  {name}: {fault}" for name, fault in status["settings"]["faults"].items()]
    ignored = [f"  {name}: ignored, {why}" for name, why in status["upstreams"]["ignored"].items()]
    return "\n".join([line, *faults, *ignored])


def _event_line(event: dict[str, Any]) -> str:
    rest = {key: value for key, value in event.items() if key not in ("t", "node", "event")}
    rest.pop("request", None)
    fields = "  ".join(f"{key}={value}" for key, value in rest.items())
    return f"  {event['t']:.3f}  {event['event']}  {fields}"
