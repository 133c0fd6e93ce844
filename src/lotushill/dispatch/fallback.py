"""What an entry grants itself while the dispatcher of a cell is silent: the top tier only.

Each entry stays within its share of an upstream's slots, so that all entries together do not
take more than there are. Engines honour priorities, so what runs there already gives way.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.dispatch.messages import Grant
from lotushill.objectapi.objects import HostState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lotushill.dispatch.messages import Ask
    from lotushill.objectapi.objects import HostRecord

TOP_TIER = 0


@dataclass
class _Known:
    address: str
    running: int = 0


class Fallback:
    """One entry's own counts, by cell and upstream."""

    def __init__(self) -> None:
        self._cells: dict[str, dict[str, _Known]] = {}
        self._where: dict[str, tuple[str, str]] = {}

    def follow(self, records: Iterable[HostRecord], cell_of: dict[str, str]) -> None:
        """Follow the host list; `cell_of` names the cell of each upstream."""
        cells: dict[str, dict[str, _Known]] = {}
        for record in records:
            if record.name not in cell_of or record.state is HostState.LEAVING:
                continue
            cell = cell_of[record.name]
            former = self._cells.get(cell, {}).get(record.name)
            running = former.running if former else 0
            cells.setdefault(cell, {})[record.name] = _Known(record.address, running)
        self._cells = cells

    def place(self, ask: Ask, slots: int, entries: int) -> Grant | None:
        """Grant a request of the top tier within this entry's share, or return None."""
        if ask.tier != TOP_TIER:
            return None
        share = max(1, slots // max(1, entries))
        known = self._cells.get(ask.cell, {})
        free = [
            (item.running, name)
            for name, item in known.items()
            if item.running < share and name not in ask.excluded
        ]
        if not free:
            return None
        name = min(free)[1]
        known[name].running += 1
        self._where[ask.request] = (ask.cell, name)
        return Grant(
            request=ask.request,
            attempt=ask.attempt,
            cell=ask.cell,
            upstream=name,
            address=known[name].address,
            tier=ask.tier,
            waited=0.0,
            why=f"dispatcher=silent own_share={share}",
        )

    def end(self, request: str) -> None:
        """Note that a request that was placed here has ended."""
        cell, name = self._where.pop(request, ("", ""))
        item = self._cells.get(cell, {}).get(name)
        if item is not None:
            item.running -= 1
