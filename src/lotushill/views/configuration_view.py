"""View of the configuration in force: its revision only increases; a pure state machine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lotushill.routing.table import RoutingTable


class ConfigurationView:
    """Holds the newest known routing table and the store's revision of it."""

    def __init__(self) -> None:
        self.revision = -1
        """Revision of the configuration object; below 0 before the first one."""
        self.table: RoutingTable | None = None

    def replace(self, table: RoutingTable, revision: int) -> bool:
        """Put a table in force if it is newer than the current one; return whether it was."""
        if revision <= self.revision:
            return False
        if self.table is not None and table.version < self.table.version:
            return False
        self.revision = revision
        self.table = table
        return True
