"""Updates on refused callers with a promised retry time, so that they may return to any gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.return_messages import MAX_PROMISES_PER_DATAGRAM
from lotushill.links.return_messages import ReturnNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.schedulers import Schedulers
    from lotushill.returns.promise import PromiseState
    from lotushill.returns.promises import ReturnPromises


class ReturnGossip:
    """Sends promises made here to the other schedulers, and merges theirs.

    A lost update costs a caller its place and nothing else: its request then counts as new.
    """

    def __init__(
        self,
        name: str,
        returns: ReturnPromises,
        schedulers: Schedulers,
        send: Callable[[ReturnNews, str], None],
        clock: Callable[[], float],
    ) -> None:
        """Send as the gateway `name`; `send` sends a message to an address."""
        self._name = name
        self._returns = returns
        self._schedulers = schedulers
        self._send = send
        self._clock = clock
        self._known_addresses: frozenset[str] = frozenset()
        """Addresses of the other schedulers at the last round."""

    def receive(self, update: ReturnNews) -> None:
        """Merge an update from another gateway."""
        if update.sender != self._name:
            self._returns.merge(update.promises, self._clock())

    def send_due(self) -> None:
        """Send the promises that are due to the other schedulers, and the open ones to new ones.

        A gateway that has become a scheduler receives only those that are made from then on.
        """
        now = self._clock()
        addresses = [scheduler.address for scheduler in self._schedulers.others()]
        new = [address for address in addresses if address not in self._known_addresses]
        self._known_addresses = frozenset(addresses)
        if new:
            self._send_states(self._returns.open_states(now), new)
        self._send_states(self._returns.due_states(now), addresses)

    def _send_states(self, states: list[PromiseState], addresses: list[str]) -> None:
        for start in range(0, len(states), MAX_PROMISES_PER_DATAGRAM):
            update = ReturnNews(
                self._name, tuple(states[start : start + MAX_PROMISES_PER_DATAGRAM])
            )
            for address in addresses:
                self._send(update, address)
