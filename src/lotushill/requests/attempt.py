"""One attempt: a request sent to one upstream, and its answer passed on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.platform import request_head
from lotushill.platform.upstream_answer import read_statement
from lotushill.requests.attempt_end import AttemptEnd
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.exceptions import LostConnectionError
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.exceptions import SilentUpstreamError
from lotushill.requests.exceptions import UpstreamError
from lotushill.routing.route import RouteKind

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_news import AttemptNews
    from lotushill.requests.client_answer import ClientAnswer
    from lotushill.requests.event_stream import EventSplitter
    from lotushill.requests.parts import GatewayParts
    from lotushill.requests.upstream_connection import AnswerHead
    from lotushill.requests.upstream_connection import UpstreamConnection
    from lotushill.requests.upstream_gate import Permit
    from lotushill.scheduling.request import Request

_SUCCESS = range(200, 300)
_SILENCE_SECONDS = 0.8
_SILENCE_PREDICTED = 4.0
"""An upstream that takes so many times longer than predicted is taken for silent."""


class Attempt:
    """Runs to one of the ends of `EndKind`; a cancelled one closes its connection."""

    def __init__(
        self,
        parts: GatewayParts,
        request: Request,
        choice: Choice,
        answer: ClientAnswer,
        splitter: EventSplitter,
        news: AttemptNews,
        permit: Permit,
    ) -> None:
        self._parts = parts
        self._request = request
        self._choice = choice
        self._answer = answer
        self._splitter = splitter
        self._news = news
        self._permit = permit
        self._models_all = parts.placer.models_all()
        """Whether all that runs at the upstream is known, so that its pauses can be explained."""
        self._clock = parts.clock
        self._wakes = parts.suspension.wakes
        self.sent_at = 0.0
        self.first_at = 0.0
        self.last_at = 0.0
        self._waiting = 0.0
        """Seconds of reading that were due at the upstream when the last event came."""

    async def run(self) -> AttemptEnd:
        """Send the request and pass the answer on."""
        upstream = self._choice.upstream
        load = self._parts.fleet.load(upstream.id)
        try:
            connection = await self._parts.pool.take(upstream)
        except NotSentError as error:
            load.note_unreachable(self._clock())
            return AttemptEnd(EndKind.NOT_SENT, str(error))
        if self._was_suspended():
            connection.close()
            return AttemptEnd(EndKind.NOT_SENT, "the host was suspended")
        # Whoever chose it may not have known that it wants none, or chose before it said so.
        if not self._parts.gate.pass_on(self._permit):
            connection.close()
            return AttemptEnd(EndKind.BARRED)
        try:
            end = await self._exchange(connection)
            self._parts.pool.give_back(upstream, connection)
        except UpstreamError as error:
            connection.close()
            lost = isinstance(error, LostConnectionError)
            end = AttemptEnd(EndKind.BROKEN, repr(error), lost=lost, begun=bool(self.first_at))
        except BaseException:
            connection.close()
            raise
        return end

    def _was_suspended(self) -> bool:
        """Return whether the host was, since the upstream was chosen: it may have left."""
        self._parts.suspension.look()
        return self._parts.suspension.wakes != self._wakes

    async def _exchange(self, connection: UpstreamConnection) -> AttemptEnd:
        self.sent_at = self._clock()
        connection.send(self._request.demand.request_id, self._request.method, self._wire())
        head = await self._read_head(connection)
        self._parts.fleet.load(self._choice.upstream.id).note_reached()
        said = read_statement(head.status, head.headers)
        self._parts.gate.hear(self._choice.upstream.id, said, self.sent_at)
        if said.not_executed:
            await self._read_all(connection)
            return AttemptEnd(EndKind.REJECTED, str(head.status), said=said)
        if head.status not in _SUCCESS:
            body = await self._read_all(connection)
            return AttemptEnd(EndKind.FAILED, str(head.status), head, body, said)
        if any(name == b"content-encoding" for name, _ in head.headers):
            connection.close()
            return AttemptEnd(EndKind.BROKEN, "content-encoding")
        if self._request.route.kind is not RouteKind.STREAM:
            return await self._pass_whole(connection, head)
        if self._request.route.resumable or self._choice.backup or self._choice.continues:
            return await self._pass_events(connection, head)
        return await self._pass_stream(connection, head)

    async def _read_head(self, connection: UpstreamConnection) -> AnswerHead:
        """Return the head; a repeatable request does not wait for a silent upstream."""
        patience = max(_SILENCE_SECONDS, _SILENCE_PREDICTED * self._choice.first)
        try:
            async with asyncio.timeout(patience):
                return await connection.read_head()
        except TimeoutError as error:
            self._news.silent()
            if self._request.route.repeatable:
                raise SilentUpstreamError("no head") from error
        return await connection.read_head()

    async def _read_all(self, connection: UpstreamConnection) -> bytes:
        pieces = []
        while piece := await connection.read():
            pieces.append(piece)
        return b"".join(pieces)

    async def _pass_whole(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Pass a plain answer on once it is whole, so that one cut off is never begun."""
        body = await self._read_all(connection)
        self._note_event()
        await self._answer.start(head.status, head.headers_for(body))
        await self._answer.finish(body)
        return AttemptEnd(EndKind.WHOLE)

    async def _pass_stream(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Pass each piece on as it comes."""
        while piece := await connection.read():
            self._note_event()
            if not self._answer.started:
                await self._answer.start(head.status, head.headers)
            await self._answer.write(piece)
        if not self._answer.started:
            await self._answer.start(head.status, head.headers)
        await self._answer.finish()
        return AttemptEnd(EndKind.WHOLE)

    async def _pass_events(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Pass whole events on, so that another upstream can go on after any of them."""
        patience = max(_SILENCE_SECONDS, 4 * self._request.route.target_gap)
        while piece := await connection.read(patience if self.first_at else None):
            whole = self._splitter.feed(piece)
            if not whole:
                continue
            self._note_event()
            await self._start_chunked(head)
            await self._answer.write(whole)
        await self._start_chunked(head)
        await self._answer.finish(self._splitter.partial)
        return AttemptEnd(EndKind.WHOLE)

    async def _start_chunked(self, head: AnswerHead) -> None:
        """Start without a length: what another upstream adds is not known."""
        if not self._answer.started:
            headers = [item for item in head.headers if item[0] != b"content-length"]
            await self._answer.start(head.status, headers)

    # The request on the wire

    def _wire(self) -> bytes:
        request = self._request
        headers = request.headers
        last_event_id = self._splitter.last_id if self._splitter.events else ""
        if last_event_id:
            headers = request_head.without_last_event_id(headers)
        own = request_head.attempt_headers(
            self._choice.upstream.name,
            request.ends - self._clock(),
            request.route.urgency,
            request.team,
            last_event_id,
            self._copies(),
        )
        lines = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
        for name, value in [*headers, *own]:
            lines += (name, b": ", value, b"\r\n")
        lines += (b"\r\n", request.body)
        return b"".join(lines)

    def _copies(self) -> request_head.MemoryCopies:
        choice = self._choice
        return request_head.MemoryCopies(
            fetch_from=choice.fetch.source.address if choice.fetch else "",
            backup_to=choice.backup.address if choice.backup else "",
            continues_at=choice.upstream.address if choice.continues else "",
            run=self._request.demand.request_id,
        )

    # What is learned

    def _note_event(self) -> None:
        now = self._clock()
        if not self.first_at:
            self.first_at = now
            self._note_first(now)
        if self._request.route.kind is RouteKind.STREAM:
            self._learn_pause(now)
        self.last_at = now

    def _learn_pause(self, now: float) -> None:
        if self.last_at:
            self._news.paused(now - self.last_at)
        if not self._models_all:
            return
        due = self._due_reading(now)
        if self.last_at:
            self._note_pause(now, due)
        self._waiting = due

    def _note_pause(self, now: float, due: float) -> None:
        """Learn from the pause that ends now, while readings of `due` seconds are still due."""
        load = self._parts.fleet.load(self._choice.upstream.id)
        pauses = self._parts.fleet.pace(self._request.service.name).pauses
        slowness = load.pace.step_slowness(now)
        ratio = pauses.note(now - self.last_at, self._waiting, len(load.running), slowness)
        if ratio is not None and not due:
            load.pace.note_step(ratio, now)

    def _due_reading(self, now: float) -> float:
        """Return the seconds of reading that are due at the upstream."""
        load = self._parts.fleet.load(self._choice.upstream.id)
        rate = self._parts.fleet.pace(self._request.service.name).read_rate
        return load.unread.all(rate, now) / rate

    def _note_first(self, now: float) -> None:
        taken = now - self.sent_at
        self._news.began(taken)
        self._parts.metrics.note_first(self._request.service.name, taken, self._choice.first)
