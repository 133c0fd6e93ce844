"""Works out docs/CAPACITY.md from measured slopes."""

from __future__ import annotations

import itertools
from dataclasses import dataclass
from typing import Any

_MICRO = 1e-6
_UDP_OVERHEAD = 28
_PERIOD = 0.2
_HEAD_ENTRY_BYTES = 58
"""Bytes of one name and digest in the head."""
_BUDGET_CORE = 0.027
_BUDGET_BYTES = 25_000
_READS = 2000
_WRITES = 100
_KEEPER_RENEW = 1.0
_STANDBY_PAUSE = 4.0
_WATCH_SECONDS = 20.0
_LIST_SECONDS = 2.5
_HALL_STATUS_SECONDS = 60.0


@dataclass(frozen=True)
class Size:
    """One fleet to work the figures out for."""

    name: str
    nodes: int
    engines: int
    requests: float
    tokens: float
    teams: int
    cells: int
    regions: int
    halls: int
    edits_a_day: float


@dataclass(frozen=True)
class Costs:
    """What the scripts measured."""

    slopes: dict[str, Any]
    """From `lotushill-load slopes`."""
    token_us: float
    """Processor time of a relayed token, from scripts/measure_relay.py."""
    request_us: float
    """Processor time of a short request at its entry, from scripts/measure_relay.py."""
    entry_rest_core: float
    """Share of a core of an entry at rest, from scripts/measure_fleet.py."""
    entry_mb: float
    keeper_mb: float
    keeper_rest_core: float


SIZES = (
    Size("Croatia today", 8, 13, 60, 14_000, 10, 2, 1, 4, 200),
    Size("Jalisco today", 8, 8, 30, 5_500, 10, 2, 1, 3, 200),
    Size("aimed at", 360, 600, 12_000, 2_700_000, 340, 18, 3, 10, 1_700),
)


@dataclass(frozen=True)
class Row:
    """Figures of one role at one size."""

    role: str
    mechanism: str
    state: str
    messages: float
    """A second."""
    bytes_a_second: float
    core: float
    memory: str
    fits: str


def rows(size: Size, costs: Costs) -> list[Row]:
    """Return the figures of every role."""
    return [
        _entry(size, costs),
        _dispatcher(size, costs),
        _member(size, costs),
        _reader(size, costs),
        _follower(size, costs),
        _keeper(size, costs),
        _standby(size, costs),
        _status_writer(size),
    ]


def decide_us(slopes: dict[str, Any], engines: float) -> float:
    """Return the cost of one ask and its end in a cell, between measured points."""
    points = sorted((int(count), cost) for count, cost in slopes["decide"].items())
    for (low, before), (high, after) in itertools.pairwise(points):
        if engines <= high:
            share = max(0.0, (engines - low) / (high - low))
            return float(before + share * (after - before))
    return float(points[-1][1])


def grant_us(size: Size, costs: Costs) -> float:
    """Return what one request costs the dispatcher of its cell, frames included."""
    slopes = costs.slopes
    frames = slopes["ask_decode"] + slopes["grant_encode"] + slopes["end_decode"]
    return float(frames + decide_us(slopes, size.engines / size.cells))


def platform_reads(size: Size) -> list[tuple[str, float]]:
    """Return the object API's reads a second, by who makes them."""
    edits = size.edits_a_day / 86_400
    return [
        ("two readers a hall, their watches", 2 * size.halls / _WATCH_SECONDS),
        ("the same, head and objects of each edit", 2 * size.halls * edits * 2),
        ("host list, every entry", size.nodes / _LIST_SECONDS),
        ("host list, entries that decide for a cell", float(size.cells)),
        ("lease, the holder", 1 / _KEEPER_RENEW),
        ("lease, standbys", (size.nodes - 1) / _STANDBY_PAUSE),
        ("accepting, a watch and two reads an edit", 1 / 5.0 + edits * 2),
    ]


def platform_writes(size: Size) -> list[tuple[str, float]]:
    """Return the object API's writes a second, by who makes them."""
    edits = size.edits_a_day / 86_400
    return [
        ("edits, and what accepting each writes", edits * 4),
        ("lease, the holder", 1 / _KEEPER_RENEW),
        ("status of halls", size.halls / _HALL_STATUS_SECONDS + edits * size.halls),
    ]


def _entry(size: Size, costs: Costs) -> Row:
    requests, tokens = size.requests / size.nodes, size.tokens / size.nodes
    slopes = costs.slopes
    frames = slopes["ask_encode"] + slopes["grant_decode"] + slopes["end_encode"]
    core = (requests * (costs.request_us + frames) + tokens * costs.token_us) * _MICRO
    return Row(
        "entry, data path",
        "direct network backend, body past httpcore",
        f"{requests:.0f} requests a second, {tokens:.0f} tokens a second",
        requests * 3,
        requests * (slopes["ask_bytes"] + slopes["grant_bytes"] + slopes["end_bytes"]),
        core,
        f"{costs.entry_mb:.0f} MB, all roles of the process",
        "one process" if core < 0.8 else "two processes a host",
    )


def _dispatcher(size: Size, costs: Costs) -> Row:
    requests = size.requests / size.cells
    core = requests * grant_us(size, costs) * _MICRO
    slopes = costs.slopes
    fits = core + costs.entry_rest_core <= _BUDGET_CORE
    return Row(
        "dispatcher of a cell",
        "cells by rendezvous hash",
        f"{size.engines / size.cells:.0f} engines, {requests:.0f} requests a second",
        requests * 3,
        requests * (slopes["ask_bytes"] + slopes["grant_bytes"] + slopes["end_bytes"]),
        core,
        "what runs and waits, some 3 KB each",
        "fits" if fits else "over the budget for control, see below",
    )


def _member(size: Size, costs: Costs) -> Row:
    members = size.nodes / size.regions
    packets = 4 / _PERIOD
    core = 2 / _PERIOD * costs.slopes["ping_round_trip"] * _MICRO
    return Row(
        "member",
        "pings to one other a period, news on them",
        f"{members:.0f} members of the region",
        packets,
        packets * (costs.slopes["ping_bytes"] + _UDP_OVERHEAD) / 2,
        core,
        f"{members * costs.slopes['member_bytes'] / 1024:.0f} KB",
        "fits",
    )


def _reader(size: Size, costs: Costs) -> Row:
    edits = size.edits_a_day / 86_400
    head = size.teams * _HEAD_ENTRY_BYTES
    return Row(
        "settings reader, two a hall",
        "a watch on the head",
        f"{size.teams} teams",
        1 / _WATCH_SECONDS + 2 * edits,
        edits * 2 * head,
        edits * _install_us(size, costs) * _MICRO,
        _contracts_memory(size, costs),
        "fits",
    )


def _follower(size: Size, costs: Costs) -> Row:
    edits = size.edits_a_day / 86_400
    head = size.teams * _HEAD_ENTRY_BYTES
    return Row(
        "settings follower",
        "generation on heartbeats, pull from a peer",
        f"{size.teams} teams",
        2 * edits,
        edits * head,
        edits * _install_us(size, costs) * _MICRO,
        _contracts_memory(size, costs),
        "fits",
    )


def _keeper(size: Size, costs: Costs) -> Row:
    edits = size.edits_a_day / 86_400
    core = costs.keeper_rest_core + edits * _nearest(costs.slopes["judge"], size.teams) * _MICRO
    return Row(
        "keeper, holder",
        "lease, judgement of what changed, head by its version",
        f"{size.teams} teams, read and as text",
        2 / _KEEPER_RENEW + 6 * edits,
        edits * size.teams * _HEAD_ENTRY_BYTES * 2,
        core,
        f"{costs.keeper_mb:.0f} MB, the process",
        "processor fits; memory over 32 MB, see below",
    )


def _standby(size: Size, costs: Costs) -> Row:
    return Row(
        "keeper, standby",
        "a look at the lease every 4 s",
        "none",
        1 / _STANDBY_PAUSE,
        600 / _STANDBY_PAUSE,
        costs.keeper_rest_core,
        f"{costs.keeper_mb:.0f} MB, the process",
        "processor fits; memory over 32 MB, see below",
    )


def _status_writer(size: Size) -> Row:
    edits = size.edits_a_day / 86_400
    members = size.nodes / size.halls
    return Row(
        "status writer, one a hall",
        "rendezvous hash, only when something changed",
        f"{members:.0f} members",
        2 * (edits + 1 / _HALL_STATUS_SECONDS),
        (edits + 1 / _HALL_STATUS_SECONDS) * members * 40,
        0.0001,
        "none",
        "fits",
    )


def _contracts_memory(size: Size, costs: Costs) -> str:
    return f"{size.teams * costs.slopes['team_bytes'] / 2**20:.1f} MB of contracts"


def _install_us(size: Size, costs: Costs) -> float:
    return _nearest(costs.slopes["install"], size.teams)


def _nearest(points: dict[str, float], teams: int) -> float:
    """Return the figure of the least measured number of teams that is not below."""
    known = sorted((int(count), cost) for count, cost in points.items())
    return next((cost for count, cost in known if count >= teams), known[-1][1])


def page(costs: Costs, preface: str, afterword: str) -> str:
    """Return the whole page."""
    lines = [preface.strip(), ""]
    for size in SIZES:
        lines += [f"## {size.name}", "", _described(size), ""]
        lines.append("| role | carried by | state | messages/s | bytes/s | core | memory | fits |")
        lines.append("|---|---|---|---|---|---|---|---|")
        for row in rows(size, costs):
            lines.append(
                f"| {row.role} | {row.mechanism} | {row.state} | {row.messages:.2f} "
                f"| {row.bytes_a_second:.0f} | {row.core * 100:.2f}% | {row.memory} | {row.fits} |"
            )
        lines += ["", *_platform(size), ""]
    lines.append(afterword.strip())
    return "\n".join(lines) + "\n"


def _described(size: Size) -> str:
    return (
        f"{size.nodes} nodes, {size.engines} upstreams, {size.requests:.0f} requests and "
        f"{size.tokens:.0f} tokens a second, {size.teams} teams, {size.cells} cells, "
        f"{size.halls} halls, {size.edits_a_day:.0f} edits a day."
    )


def _platform(size: Size) -> list[str]:
    reads, writes = platform_reads(size), platform_writes(size)
    read, written = sum(rate for _, rate in reads), sum(rate for _, rate in writes)
    named = "; ".join(f"{name} {rate:.2f}" for name, rate in reads)
    named_writes = "; ".join(f"{name} {rate:.2f}" for name, rate in writes)
    return [
        f"Object API at rest: {read:.1f} reads a second ({read / _READS:.1%} of {_READS}): "
        f"{named}.",
        f"Writes: {written:.2f} a second ({written / _WRITES:.1%} of {_WRITES}): {named_writes}. "
        f"What is left, {_WRITES - written:.0f} a second, bounds keyed calls that may not be "
        f"repeated, for the whole fleet.",
    ]
