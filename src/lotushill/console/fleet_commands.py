"""Commands of `lotushill` that query the gateways of a fleet."""

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

from lotushill.console.result import Result
from lotushill.gateway.status_app import EXPLAIN_PATH
from lotushill.gateway.status_app import STATUS_PATH
from lotushill.peering.registration import KIND
from lotushill.process.exit_status import EXIT_FAILED
from lotushill.process.exit_status import EXIT_OK

if TYPE_CHECKING:
    import argparse
    from collections.abc import Mapping

    from lotushill.platform.object_store import ObjectStore

_ANSWER_TIMEOUT_SECONDS = 2.0
_WATCH_INTERVAL_SECONDS = 1.0
_OK = 200


@dataclass(frozen=True)
class RegisteredGateway:
    """A registered gateway and the address of its status."""

    name: str
    hall: str
    status: str
    """Address of the status listener, as `IP:PORT`."""


class FleetCommands:
    """Commands that query the gateways registered in one store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def status(self, options: argparse.Namespace) -> Result:
        """Show the revisions in force at each gateway; exit code 1 unless all gateways agree."""
        last_text = ""
        while True:
            result = await self._status()
            if not options.watch:
                return result
            if result.text != last_text:
                last_text = result.text
                print(last_text, flush=True)
            await anyio.sleep(_WATCH_INTERVAL_SECONDS)

    async def explain(self, options: argparse.Namespace) -> Result:
        """Show the events of a request, from the gateway that received it."""
        answers = await self._query_all(EXPLAIN_PATH + options.request)
        for name, events in answers.items():
            if events:
                lines = [f"{name}:", *(_event_line(item) for item in events)]
                return Result("\n".join(lines), {"gateway": name, "events": events})
        return Result(f"no gateway has events of request {options.request}", None, EXIT_FAILED)

    async def _status(self) -> Result:
        gateways = await self._gateways()
        answers = await self._query_all(STATUS_PATH)
        rows = {item.name: answers.get(item.name) for item in gateways}
        unanswered = [name for name, row in rows.items() if row is None]
        states_in_force = {json.dumps(_in_force(row)) for row in rows.values() if row}
        agree = len(states_in_force) == 1 and not unanswered
        lines = [
            f"{len(rows) - len(unanswered)} of {len(rows)} gateways answered"
            + (", all with the same configuration and settings in force" if agree else "")
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

    async def _query_all(self, path: str) -> dict[str, Any]:
        """Return the JSON answer of each gateway, None for those without a valid answer."""
        answers: dict[str, Any] = {}

        async def query(gateway: RegisteredGateway) -> None:
            answers[gateway.name] = await _query(pool, gateway.status, path)

        async with httpcore.AsyncConnectionPool() as pool, anyio.create_task_group() as group:
            for gateway in await self._gateways():
                group.start_soon(query, gateway)
        return answers


async def _query(pool: httpcore.AsyncConnectionPool, address: str, path: str) -> Any:
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), _ANSWER_TIMEOUT_SECONDS)
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
    """Return the holder of the duties and its last engine orders, from the gateways' status."""
    duties = {name: row["duties"] for name, row in rows.items() if row and row.get("duties")}
    if not duties:
        return []
    holders = [name for name, item in duties.items() if item["held_here"]]
    if not holders:
        return ["duties: no gateway reports that it holds them"]
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
    """Return the limits that upstreams state, with the number of gateways that know each."""
    reports = [row["upstreams"].get("limited", {}) for row in rows.values() if row]
    gateway_counts = Counter((name, rate) for limits in reports for name, rate in limits.items())
    return [
        f"limit: {name} accepts {rate:g} requests/s from all gateways, known to {count} of "
        f"{len(reports)} gateways"
        for (name, rate), count in sorted(gateway_counts.items())
    ]


def share_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the teams that exceed their share, with the largest excess that a gateway reports."""
    reported_times: dict[tuple[str, int, str], list[float]] = {}
    for row in rows.values():
        for item in row.get("over_share", ()) if row else ():
            key = (item["service"], item["tier"], item["team"])
            reported_times.setdefault(key, []).append(item["times"])
    return [
        f"share: {team or 'no team'} has used up to {max(times):.1f} times the mean of the other "
        f"teams of {service}, tier {tier}, reported by {len(times)} gateways"
        for (service, tier, team), times in sorted(reported_times.items())
    ]


def waiting_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the number of queued requests over all gateways, one line for each service."""
    waiting: dict[str, Counter[str]] = {}
    for row in rows.values():
        for service, tiers in (row or {}).get("waiting", {}).get("tiers", {}).items():
            waiting.setdefault(service, Counter()).update(tiers)
    return [
        f"queued requests: {service} {sum(tiers.values())} ("
        + ", ".join(f"tier {tier}: {count}" for tier, count in sorted(tiers.items()))
        + ")"
        for service, tiers in sorted(waiting.items())
    ]


def pace_lines(rows: Mapping[str, dict[str, Any] | None]) -> list[str]:
    """Return the upstreams whose pace differs, with the number of gateways that report each.

    The pace is long-term and relative to the median upstream of the service.
    """
    reports = [row["upstreams"].get("paces", {}) for row in rows.values() if row]
    paces_by_upstream: defaultdict[str, list[list[float]]] = defaultdict(list)
    for paces in reports:
        for name, pace in paces.items():
            paces_by_upstream[name].append(pace)
    return [
        f"pace: {name} takes {statistics.median(steps for steps, _ in paces):.2f} times the median "
        f"of its service for a step, and for prefill a further factor of "
        f"{statistics.median(reading for _, reading in paces):.2f}, reported "
        f"by {len(paces)} of {len(reports)} gateways"
        for name, paces in sorted(paces_by_upstream.items())
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
        f"{status.get('places_kept', 0)} promises open"
    )
    faults = [f"  {name}: {fault}" for name, fault in status["settings"]["faults"].items()]
    ignored = [f"  {name}: ignored, {why}" for name, why in status["upstreams"]["ignored"].items()]
    return "\n".join([line, *faults, *ignored])


def _event_line(event: dict[str, Any]) -> str:
    details = {key: value for key, value in event.items() if key not in ("t", "node", "event")}
    details.pop("request", None)
    fields = "  ".join(f"{key}={value}" for key, value in details.items())
    return f"  {event['t']:.3f}  {event['event']}  {fields}"
