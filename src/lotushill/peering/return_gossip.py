"""Passes on who was told to come back, so that a caller may return to any gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lotushill.links.return_messages import MAX_PROMISES_PER_DATAGRAM
from lotushill.links.return_messages import ReturnNews

if TYPE_CHECKING:
    from collections.abc import Callable

    from lotushill.membership.schedulers import Schedulers
    from lotushill.returns.promises import ReturnPromises


class ReturnGossip:
    """Tells the other schedulers of promises made here, and takes theirs.

    News that are lost cost a caller its place and nothing else: it is then a newcomer.
    """

    def __init__(
        self,
        name: str,
        returns: ReturnPromises,
        schedulers: Schedulers,
        send: Callable[[ReturnNews, str], None],
        clock: Callable[[], float],
    ) -> None:
        """Tell as the gateway `name`; `send` sends a message to an address."""
        self._name = name
        self._returns = returns
        self._schedulers = schedulers
        self._send = send
        self._clock = clock

    def receive(self, news: ReturnNews) -> None:
        """Take what another gateway tells."""
        if news.sender != self._name:
            self._returns.merge(news.promises, self._clock())

    def send_due(self) -> None:
        """Tell the other schedulers, if something is due."""
        told = self._returns.due_states(self._clock())
        for start in range(0, len(told), MAX_PROMISES_PER_DATAGRAM):
            news = ReturnNews(self._name, tuple(told[start : start + MAX_PROMISES_PER_DATAGRAM]))
            for scheduler in self._schedulers.others():
                self._send(news, scheduler.address)
