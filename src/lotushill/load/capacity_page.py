"""Reads the measured figures and writes the text around the tables of docs/CAPACITY.md."""

from __future__ import annotations

import json
from statistics import median
from typing import TYPE_CHECKING
from typing import Any

from lotushill.load.capacity import SIZES
from lotushill.load.capacity import Costs
from lotushill.load.capacity import decide_us
from lotushill.load.capacity import grant_us
from lotushill.load.capacity import page

if TYPE_CHECKING:
    from pathlib import Path

_PREFACE = """
# Capacity

Worked out by `lotushill-load capacity --figures docs/figures` from what was measured on one
machine of 8 cores: `lotushill-load slopes` (slopes.json), `scripts/measure_relay.py` (relay.json)
and `scripts/measure_fleet.py` with 12 entries (fleet.json). Between measured points figures are
interpolated; beyond them nothing is extrapolated but by counts. The budget for control on a node is
2.7% of a core, 32 MB and 25 KB a second. Core is the share of one core.
"""


def write_page(folder: Path) -> str:
    """Return docs/CAPACITY.md from the figures in a folder."""
    slopes = _read(folder / "slopes.json")
    relay = _read(folder / "relay.json")
    fleet = _read(folder / "fleet.json")
    rounds = [item["entry-new"] for item in relay["rounds"]]
    costs = Costs(
        slopes=slopes,
        token_us=median(item["tokens"]["microseconds_a_token"] for item in rounds),
        request_us=median(item["requests"]["microseconds_a_request"] for item in rounds),
        entry_rest_core=fleet["at_rest"]["entry_core_share"],
        entry_mb=fleet["at_rest"]["entry_resident_mb"],
        keeper_mb=fleet["at_rest"]["keeper_resident_mb"],
        keeper_rest_core=fleet["at_rest"]["keeper_core_share"],
    )
    return page(costs, _PREFACE, _afterword(costs, fleet))


def _afterword(costs: Costs, fleet: dict[str, Any]) -> str:
    aimed = SIZES[-1]
    each = grant_us(aimed, costs)
    small = each - decide_us(costs.slopes, aimed.engines / aimed.cells)
    small += decide_us(costs.slopes, 3)
    left = 0.027 - costs.entry_rest_core
    rate = max(0.0, left) / (small * 1e-6)
    force = fleet["seconds_to_in_force"]
    notice = fleet["seconds_to_notice"]
    restart = fleet["restart_of_all"]
    entries = fleet["entries"]
    return f"""
## What was measured of a fleet

Over {entries} entries: an edit is in force after {force["p50"] * 1000:.0f} ms at p50,
{force["p99"] * 1000:.0f} ms at p99 and {force["worst"] * 1000:.0f} ms at worst, of 4 s. A killed
host is taken for lost after {median(notice["kill"]):.2f} s (worst {max(notice["kill"]):.2f} s), a
frozen one after {median(notice["freeze"]):.2f} s (worst {max(notice["freeze"]):.2f} s); with more
members a probe comes as often, so this grows only with the round it takes for news to spread. False
suspicions: {fleet["suspicions_of_live_members"]}. All restarted at once: ready after
{restart["seconds_to_ready"]:.1f} s, {restart["reads_in_10_s"]} reads in 10 s.

An entry at rest takes {costs.entry_rest_core:.2%} of a core, which leaves {left:.2%} for deciding.

## What does not fit, and what makes it fit

- **Dispatchers at the size aimed at.** One request costs its dispatcher {each:.0f} us with 33
  engines in a cell. All cells together take {aimed.requests * each * 1e-6:.1f} cores, which is
  {aimed.requests * each * 1e-6 / aimed.nodes:.2%} of a core on each of {aimed.nodes} nodes, but
  {aimed.cells} nodes would carry it alone. Cells must be divided: with 3 engines in a part a
  request costs {small:.0f} us, and what is left of a node's budget carries {rate:.0f} requests a
  second, while each of 200 such parts gets {aimed.requests / 200:.0f}: with {aimed.nodes} nodes and
  200 parts that fits only if an entry at rest comes down to some 1.6% of a core. Frames of a whole
  cell are {aimed.requests / aimed.cells * 451 / 1000:.0f} KB a second against 25, of such a part
  {aimed.requests / 200 * 451 / 1000:.0f}. An engine belongs to one part, and parts lend to each
  other. Division is not built.
- **Memory.** An entry has {costs.entry_mb:.0f} MB resident and a keeper {costs.keeper_mb:.0f} MB,
  most of it imports. Both share one budget of 32 MB, which neither keeps alone. The keeper without
  an HTTP server of its own, and with settings parsed by a smaller library, comes nearer; the budget
  is best met by making the keeper a part of the entry, whose other imports serve callers anyway.
- **Host lists and standby keepers** make nine in ten of the object API's reads, an eighth of what
  it bears. Two readers and two candidates a hall by rendezvous hash would leave a twentieth.

## What breaks first

- A hall lost: its {aimed.nodes // aimed.halls} members are missed by probes of all others within a
  round; news of them rides on pings, twelve to a packet. Cells move at once for hosts whose links
  break, after about a second for the rest. Engines of the hall are lost with it.
- A region cut off for an hour: nothing on the data path crosses regions. Settings stay as they are
  until the object API is back; keyed calls that may not be repeated are refused as not run.
- Everything restarted within a minute: two readers a hall read the head and all objects in one call
  each, the rest pull from them; {2 * aimed.halls} heads and lists, and {aimed.nodes} host lists.
- Tokens: {aimed.tokens / aimed.nodes:.0f} a second a node at {costs.token_us:.0f} us take
  {aimed.tokens / aimed.nodes * costs.token_us * 1e-6:.0%} of a core; a node with twice its share
  needs a second entry process.
"""


def _read(path: Path) -> dict[str, Any]:
    found: dict[str, Any] = json.loads(path.read_text(encoding="utf-8"))
    return found
