"""All cells that this member decides for."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lotushill.dispatch.cell import Cell
from lotushill.dispatch.messages import Ask
from lotushill.dispatch.messages import Cancel
from lotushill.dispatch.messages import Decision
from lotushill.dispatch.messages import End
from lotushill.links.messages import Held
from lotushill.objectapi.objects import HostState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from lotushill.dispatch.options import CellOptions
    from lotushill.objectapi.objects import HostRecord

log = logging.getLogger("upstreams")

GATHER_SECONDS = 0.3
"""A new dispatcher hears what is already running for so long before it grants anything."""


_FORGET_SECONDS = 1.0
HAND_OVER_SECONDS = 2.0
"""A cell that another member decides for is kept so long, for entries that do not know yet."""


@dataclass(frozen=True)
class Routed:
    """A decision and the entry host that it goes to."""

    entry: str
    decision: Decision


def cell_name(pool: str, region: str) -> str:
    """Return the name of the cell of a pool in a region."""
    return f"{pool}@{region}"


class Dispatcher:
    """Takes in messages of entries and returns routed decisions; the time is an argument."""

    def __init__(
        self,
        options_for: Callable[[str], CellOptions],
        on_new_cell: Callable[[], None] = lambda: None,
    ) -> None:
        self._options_for = options_for
        self._on_new_cell = on_new_cell
        self.cells: dict[str, Cell] = {}
        self._entries: dict[str, str] = {}
        """Entry of each request that waits or runs."""
        self._upstreams: tuple[HostRecord, ...] = ()
        self._halls: frozenset[str] | None = None
        self._next_forget = 0.0
        self._unowned: dict[str, float] = {}
        """Since when another member decides for a cell that is still held here."""
        self._leaving: frozenset[str] = frozenset()
        """Upstreams that say of themselves that they are leaving."""

    def handle(self, sender: str, message: Ask | End | Cancel | Held, now: float) -> list[Routed]:
        """Take in one message from an entry host."""
        if isinstance(message, Ask):
            self._entries[message.request] = sender
            return self._route(self._cell(message.cell, now).ask(message, now))
        if isinstance(message, Held):
            self._entries[message.ask.request] = sender
            self._cell(message.ask.cell, now).adopt(message.ask, message.upstream, now)
            return []
        cell = self.cells.get(message.cell)
        if cell is None:
            return []
        if isinstance(message, End):
            return self._route(cell.end(message, now))
        return self._route(cell.cancel(message, now))

    def tick(self, now: float) -> list[Routed]:
        """Do what time brings in every cell."""
        self._drop_unowned(now)
        decisions = [item for cell in self.cells.values() for item in cell.tick(now)]
        routed = self._route(decisions)
        if now >= self._next_forget:
            self._next_forget = now + _FORGET_SECONDS
            self._forget()
        return routed

    def drop_entry(self, entry: str, now: float) -> list[Routed]:
        """Drop all requests of a lost entry host."""
        return self._route(
            [item for cell in self.cells.values() for item in cell.drop_entry(entry, now)]
        )

    def set_upstreams(self, records: Iterable[HostRecord]) -> None:
        """Follow the host list: who is there, who is leaving."""
        self._upstreams = tuple(record for record in records if record.pool)
        for cell in self.cells.values():
            self._supply(cell)

    def set_reachable_halls(self, halls: frozenset[str]) -> None:
        """Note the halls of which a member can be reached; others get no grants."""
        self._halls = halls
        for cell in self.cells.values():
            self._supply(cell)

    def note_health(self, name: str, leaving: bool) -> None:
        """Note whether an upstream says of itself that it is leaving."""
        if leaving == (name in self._leaving):
            return
        self._leaving ^= {name}
        log.info("Upstream says it %s. upstream=%s", "leaves" if leaving else "serves", name)
        for cell in self.cells.values():
            self._supply(cell)

    def reset(self) -> None:
        """Forget every cell; entries tell what runs and waits to whoever decides now."""
        self.cells.clear()
        self._entries.clear()
        self._unowned.clear()

    def keep_cells(self, owned: Callable[[str], bool], now: float) -> None:
        """Forget cells that another member has been deciding for long enough."""
        for name in list(self.cells):
            if owned(name):
                self._unowned.pop(name, None)
            else:
                self._unowned.setdefault(name, now)

    def _drop_unowned(self, now: float) -> None:
        for name, since in list(self._unowned.items()):
            if now - since >= HAND_OVER_SECONDS:
                self.cells.pop(name, None)
                del self._unowned[name]

    def _cell(self, name: str, now: float) -> Cell:
        cell = self.cells.get(name)
        if cell is None:
            pool = name.partition("@")[0]
            cell = Cell(name, self._options_for(pool), now + GATHER_SECONDS)
            self.cells[name] = cell
            self._supply(cell)
            self._on_new_cell()
        return cell

    def _supply(self, cell: Cell) -> None:
        records = [
            record
            for record in self._upstreams
            if cell_name(record.pool, record.region) == cell.name
        ]
        listed = {record.name for record in records}
        for record in records:
            if record.state is HostState.LEAVING or record.name in self._leaving:
                cell.leave_upstream(record.name)
            else:
                cell.add_upstream(record.name, record.address, record.hall)
        for name in [name for name in cell.upstreams if name not in listed]:
            cell.remove_upstream(name)
        if self._halls is not None:
            for upstream in cell.upstreams.values():
                upstream.reachable = upstream.hall in self._halls

    def _route(self, decisions: list[Decision]) -> list[Routed]:
        routed: list[Routed] = []
        for decision in decisions:
            entry = self._entries.get(decision.request)
            if entry is not None:
                routed.append(Routed(entry, decision))
        return routed

    def _forget(self) -> None:
        known: set[str] = set()
        for cell in self.cells.values():
            known.update(cell.running)
            known.update(item.ask.request for item in cell.waiting)
        for request in [item for item in self._entries if item not in known]:
            del self._entries[request]
