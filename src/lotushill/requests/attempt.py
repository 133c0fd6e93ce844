"""One attempt: a request sent to one upstream, and its answer passed on."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from lotushill.moves.stalls import max_threshold
from lotushill.platform.upstream_answer import read_statement
from lotushill.requests.attempt_end import AttemptEnd
from lotushill.requests.attempt_end import EndKind
from lotushill.requests.attempt_pauses import AttemptPauses
from lotushill.requests.exceptions import LostConnectionError
from lotushill.requests.exceptions import NotSentError
from lotushill.requests.exceptions import SilentUpstreamError
from lotushill.requests.exceptions import UpstreamError
from lotushill.requests.handover import Phase
from lotushill.requests.movable_run import MovableRun
from lotushill.requests.wire import encode_request
from lotushill.routing.route import RouteKind

if TYPE_CHECKING:
    from lotushill.placement.choice import Choice
    from lotushill.requests.attempt_reporter import AttemptReporter
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
        news: AttemptReporter,
        permit: Permit,
    ) -> None:
        self._parts = parts
        self._request = request
        self._choice = choice
        self._answer = answer
        self._splitter = splitter
        self._news = news
        self._permit = permit
        self._clock = parts.clock
        self._wakes = parts.suspension.suspension_count
        self.sent_at = 0.0
        self._head_at = 0.0
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self._pauses = AttemptPauses(parts, request, choice.upstream, news)
        engine = request.service.engine
        self._movable = engine is not None and engine.can_move_memory
        """Whether runs of its service can be moved."""
        self._moving: MovableRun | None = None
        """The run once its first event has come, where it can be moved."""

    async def run(self) -> AttemptEnd:
        """Send the request and pass the answer on."""
        upstream = self._choice.upstream
        load = self._parts.fleet.load(upstream.id)
        try:
            connection = await self._parts.pool.acquire(upstream)
        except NotSentError as error:
            load.note_unreachable(self._clock())
            return AttemptEnd(EndKind.NOT_SENT, str(error))
        if self._was_suspended():
            connection.close()
            return AttemptEnd(EndKind.NOT_SENT, "the host was suspended")
        # Whoever chose it may not have known that it wants none, or chose before it said so.
        if not self._parts.gate.authorize_send(self._permit):
            connection.close()
            return AttemptEnd(EndKind.BARRED)
        try:
            end = await self._exchange(connection)
            self._parts.pool.release(upstream, connection)
        except UpstreamError as error:
            connection.close()
            end = self._broken(error)
        except BaseException:
            connection.close()
            raise
        finally:
            self._leave()
        return end

    def _broken(self, error: UpstreamError) -> AttemptEnd:
        """Return the end of an answer that was cut off: by a move, or by a fault."""
        handover = self._moving.handover if self._moving is not None else None
        if handover is not None:
            handover.note_stream_ended()
            if handover.run_stopped:
                return AttemptEnd(
                    EndKind.MOVED, repr(error), answer_started=True, handover=handover
                )
            if handover.phase is Phase.GIVEN_UP:
                handover = None
        lost = isinstance(error, LostConnectionError)
        begun = bool(self.first_event_at)
        return AttemptEnd(
            EndKind.BROKEN,
            repr(error),
            connection_lost=lost,
            answer_started=begun,
            handover=handover,
        )

    def _leave(self) -> None:
        """Let nobody move the run any longer."""
        run = self._moving
        if run is None:
            return
        run.ended = True
        self._parts.mover.remove_run(run)
        if run.handover is not None and not run.handover.stream_ended:
            self._parts.mover.release_handover(run.handover)

    def _was_suspended(self) -> bool:
        """Return whether the host was, since the upstream was chosen: it may have left."""
        self._parts.suspension.check()
        return self._parts.suspension.suspension_count != self._wakes

    async def _exchange(self, connection: UpstreamConnection) -> AttemptEnd:
        self.sent_at = self._clock()
        last_event_id = self._splitter.last_id if self._splitter.event_count else ""
        data = encode_request(self._request, self._choice, last_event_id, self.sent_at)
        connection.send(self._request.demand.request_id, self._request.method, data)
        head = await self._read_head(connection)
        self._head_at = self._clock()
        self._parts.fleet.load(self._choice.upstream.id).note_reached()
        said = read_statement(head.status, head.headers)
        self._parts.gate.record_statement(self._choice.upstream.id, said, self.sent_at)
        if said.not_executed:
            await self._read_all(connection)
            return AttemptEnd(EndKind.REJECTED, str(head.status), statement=said)
        if head.status not in _SUCCESS:
            body = await self._read_all(connection)
            return AttemptEnd(EndKind.FAILED, str(head.status), head, body, said)
        if any(name == b"content-encoding" for name, _ in head.headers):
            connection.close()
            return AttemptEnd(EndKind.BROKEN, "content-encoding")
        if self._request.route.kind is not RouteKind.STREAM:
            return await self._pass_whole(connection, head)
        if self._has_a_way_on() or self._choice.resumes_from_copy or self._movable:
            return await self._pass_events(connection, head)
        return await self._pass_stream(connection, head)

    async def _read_head(self, connection: UpstreamConnection) -> AnswerHead:
        """Return the head; a repeatable request does not wait for a silent upstream."""
        patience = max(_SILENCE_SECONDS, _SILENCE_PREDICTED * self._choice.first_event_seconds)
        try:
            async with asyncio.timeout(patience):
                return await connection.read_head()
        except TimeoutError as error:
            self._news.report_silence()
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

    def _has_a_way_on(self) -> bool:
        """Return whether the stream can go on after its connection to the upstream has ended."""
        return self._request.route.resumable or self._choice.backup is not None

    def _patience(self) -> float | None:
        """Return after which pause the run is given up here, None where that helps nobody."""
        if not self.first_event_at:
            return self._first_patience()
        gap = self._request.route.target_gap
        if not self._movable:
            given_up = self._has_a_way_on() or self._choice.resumes_from_copy
            return max_threshold(gap) if given_up else None
        if not self._has_a_way_on():
            return None
        return self._parts.mover.stalls.threshold(self._request.service.name, gap)

    async def _pass_events(self, connection: UpstreamConnection, head: AnswerHead) -> AttemptEnd:
        """Pass whole events on, so that another upstream can go on after any of them."""
        while piece := await connection.read(self._patience()):
            whole = self._splitter.feed(piece)
            if not whole:
                continue
            self._note_event()
            self._follow_run(connection)
            await self._start_chunked(head)
            await self._answer.write(whole)
            if self._moving is not None:
                self._moving.note_delivered(self._clock())
        await self._start_chunked(head)
        await self._answer.finish(self._splitter.partial)
        return AttemptEnd(EndKind.WHOLE)

    def _first_patience(self) -> float | None:
        """Return how long the first event is waited for after the head."""
        if not self._movable or not self._request.route.repeatable:
            return None
        return self._parts.mover.first_event_waits.threshold_if_known(self._request.service.name)

    def _follow_run(self, connection: UpstreamConnection) -> None:
        if not self._movable or _came_back(self._choice):
            return
        if self._moving is None:
            self._moving = MovableRun(
                self._request,
                self._choice.upstream,
                self._splitter,
                self._choice.backup is not None,
                connection.close,
                self.last_event_at,
            )
            self._parts.mover.add_run(self._moving)
        self._moving.note_event(self.last_event_at)

    async def _start_chunked(self, head: AnswerHead) -> None:
        """Start without a length: what another upstream adds is not known."""
        if not self._answer.started:
            headers = [item for item in head.headers if item[0] != b"content-length"]
            await self._answer.start(head.status, headers)

    # What is learned

    def _note_event(self) -> None:
        now = self._clock()
        if not self.first_event_at:
            self.first_event_at = now
            self._note_first(now)
            if self._movable:
                self._parts.mover.first_event_waits.note(
                    self._request.service.name, now - self._head_at
                )
        if self._request.route.kind is RouteKind.STREAM:
            self._pauses.note(now)
        self.last_event_at = now

    def _note_first(self, now: float) -> None:
        taken = now - self.sent_at
        self._news.report_first_event(taken)
        self._parts.metrics.record_first_event(
            self._request.service.name, taken, self._choice.first_event_seconds
        )


def _came_back(choice: Choice) -> bool:
    """Return whether a run goes on at the upstream that it was to be moved from."""
    return choice.moved is not None and choice.moved.source == choice.upstream.address
