"""Commands of `lotushill` for requests and prompt parts that are held as upstreams failed."""

from __future__ import annotations

from datetime import UTC
from datetime import datetime
from typing import TYPE_CHECKING

from lotushill.console.result import Result
from lotushill.process.exit_status import EXIT_FAILED
from lotushill.quarantine.stored_hold import KIND
from lotushill.quarantine.stored_hold import StoredHold
from lotushill.quarantine.stored_hold import read_hold

if TYPE_CHECKING:
    import argparse

    from lotushill.platform.object_store import ObjectStore


class QuarantineCommands:
    """Commands that read and delete the holds in one store."""

    def __init__(self, store: ObjectStore) -> None:
        self._store = store

    async def held(self, options: argparse.Namespace) -> Result:
        """List the held requests and prompt parts, with the start of each hold and the failures."""
        del options
        holds = await self._holds()
        value = {identity.hex(): hold.to_spec() for identity, hold in holds.items()}
        if not holds:
            return Result("no request and no prompt part is held", value)
        lines = [_hold_line(identity, hold) for identity, hold in holds.items()]
        return Result("\n".join(lines), value)

    async def release(self, options: argparse.Namespace) -> Result:
        """Release a held request or part; it is held again after as many failures as before."""
        names = [item.hex() for item in await self._holds()]
        matches = [name for name in names if name.startswith(options.identity)]
        if len(matches) != 1:
            quantity = "nothing is" if not matches else f"{len(matches)} requests or parts are"
            return Result(
                f"{quantity} held with an identity that starts with {options.identity}",
                None,
                EXIT_FAILED,
            )
        await self._store.delete(KIND, matches[0])
        return Result(f"released {matches[0]}", {"released": matches[0]})

    async def _holds(self) -> dict[bytes, StoredHold]:
        listed = await self._store.list_kind(KIND)
        parsed = [read_hold(item.name, item.spec) for item in listed.objects]
        valid = [item for item in parsed if item is not None]
        return dict(sorted(valid, key=lambda item: item[1].since))


def _hold_line(identity: bytes, hold: StoredHold) -> str:
    since = datetime.fromtimestamp(hold.since, UTC).isoformat(timespec="seconds")
    return (
        f"{identity.hex()}  {hold.team or '-'}  {hold.path}  since {since}  "
        f"failed upstreams: {', '.join(hold.upstreams)}"
    )
