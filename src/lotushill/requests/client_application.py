"""ASGI application for clients: checks each request and has it answered."""

from __future__ import annotations

import asyncio
import itertools
import traceback
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import anyio

from lotushill.links.asgi import BodyTimeoutError
from lotushill.links.asgi import BodyTooLargeError
from lotushill.links.asgi import ClientDisconnectedError
from lotushill.links.asgi import read_body
from lotushill.placement.need import Need
from lotushill.platform import request_head
from lotushill.requests.answer_state import AnswerState
from lotushill.requests.answer_state import CutBy
from lotushill.requests.caller_hash import caller_hash
from lotushill.requests.client_answer import ClientAnswer
from lotushill.requests.client_protocol import CONNECTION
from lotushill.requests.client_protocol import TARGET
from lotushill.requests.exchange import Exchange
from lotushill.requests.take_ups import TakeUps
from lotushill.requests.take_ups import UnknownOriginError
from lotushill.routing.route import RouteKind
from lotushill.scheduling.request import Request
from lotushill.starting.ready_wait import MAX_WAITING_REQUESTS
from lotushill.starting.ready_wait import ready_retry_after_seconds
from lotushill.starting.ready_wait import ready_wait_seconds

if TYPE_CHECKING:
    from collections.abc import MutableMapping

    from lotushill.links.asgi import Receive
    from lotushill.links.asgi import Scope
    from lotushill.links.asgi import Send
    from lotushill.requests.client_protocol import ClientProtocol
    from lotushill.requests.gateway_components import GatewayComponents
    from lotushill.routing.demand import Demand
    from lotushill.routing.route import Route
    from lotushill.routing.table import RoutingTable
    from lotushill.routing.team import Team
    from lotushill.versions.stream_origins import FoundOrigin

_BODY_TIMEOUT_SECONDS = 10.0
_REQUEST_TIMEOUT = 408
_READY_POLL_INTERVAL_SECONDS = 0.02
_UNKNOWN_ORIGIN_RETRY_AFTER_SECONDS = 0.3
"""Retry-After of a stream whose origin this gateway cannot find; another one, to which the client
comes next, may know it or reach one that does."""
_SHUTDOWN_ANSWER_SECONDS = 0.1
"""Time for which the end of the process waits for a client that does not read its answer."""
_DEFAULT_OUTPUT_FRACTION = 0.5
"""Fraction of the largest allowed output that is expected if the client gives no hint."""


class _TurnedAwayError(Exception):
    """A request is answered with an error status without being sent to an upstream."""

    def __init__(self, status: int, retry_after_seconds: float | None = None) -> None:
        super().__init__(status)
        self.status = status
        self.retry_after_seconds = retry_after_seconds


class _DisconnectHandler:
    """Cancels the work on a request when its client disconnects, and records that it did."""

    def __init__(self, scope: anyio.CancelScope) -> None:
        self._scope = scope
        self.disconnected = False

    def on_disconnect(self) -> None:
        self.disconnected = True
        self._scope.cancel()


class ClientApplication:
    """Handles the requests of clients."""

    def __init__(self, components: GatewayComponents) -> None:
        self._components = components
        self._take_ups = TakeUps(components)
        self._request_numbers = itertools.count()
        self._scopes: set[anyio.CancelScope] = set()
        """Cancel scopes of the requests in progress."""
        self.in_progress = 0
        self.closes_connections = False
        """Whether connections are closed after their answer, since the process is stopping."""
        self.waiting_until_ready = 0
        """Number of requests that wait until this gateway is ready."""
        self.accepts_requests = True
        """Whether requests are accepted; False at shutdown, when they could not be finished."""

    def note_suspension(self, seconds: float) -> None:
        """Bring the deadlines of requests in progress forward by the time that timers stopped."""
        for scope in self._scopes:
            scope.deadline -= seconds

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Handle one ASGI request; other scopes are ignored."""
        if scope["type"] != "http":
            return
        self.in_progress += 1
        try:
            await self._serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def _serve(self, scope: Scope, receive: Receive, send: Send) -> None:
        self._components.suspension.check()
        arrived = self._components.clock()
        demand = request_head.read_demand(scope["headers"])
        connection = cast("ClientProtocol", scope[CONNECTION])
        answer = ClientAnswer(send, demand.request_id, connection.memory)
        answer.close_after = self.closes_connections
        try:
            request = await self._check(scope, receive, demand, arrived)
        except ClientDisconnectedError:
            return
        except asyncio.CancelledError:
            self._note_turned_away(scope, demand, 503)
            await self._answer_at_shutdown(answer, runs=0)
            return
        except _TurnedAwayError as error:
            self._note_turned_away(scope, demand, error.status)
            answer.close_after |= connection.is_refused or error.status == _REQUEST_TIMEOUT
            await answer.send_own_answer(error.status, error.retry_after_seconds)
            return
        await self._answer_request(scope, request, answer)

    def _note_turned_away(self, scope: Scope, demand: Demand, status: int) -> None:
        """Count and log a request that is answered without an exchange."""
        self._components.metrics.record_rejection(status)
        self._components.log.note(
            "request.turned_away",
            request=demand.request_id,
            status=status,
            host=demand.host,
            target=scope[TARGET].decode("latin-1")[:80],
            configuration=self._components.configuration.revision,
        )

    async def _answer_request(self, scope: Scope, request: Request, answer: ClientAnswer) -> None:
        exchange = Exchange(self._components, request, answer)
        self._components.work.increment_running(request.service.name)
        try:
            disconnected = await self._run_exchange(scope, request, answer, exchange)
        except asyncio.CancelledError:
            exchange.outcome = "shutdown"
            await self._answer_at_shutdown(answer, exchange.runs)
            self._note_end(request, answer, exchange, CutBy.SHUTDOWN)
            return
        cut_by = CutBy.CLIENT if disconnected else exchange.cut_by()
        self._note_end(request, answer, exchange, cut_by)

    async def _answer_at_shutdown(self, answer: ClientAnswer, runs: int) -> None:
        """Answer a request whose task is cancelled, unless an answer was already started.

        Only the end of the process cancels these tasks. The cancellation is not raised again, as
        the server would log it as a fault and answer 500, which does not tell whether the request
        may have run.
        """
        with anyio.move_on_after(_SHUTDOWN_ANSWER_SECONDS):
            await answer.send_own_answer(502 if runs else 503, self._retry_after_seconds())

    async def _run_exchange(
        self, scope: Scope, request: Request, answer: ClientAnswer, exchange: Exchange
    ) -> bool:
        """Answer a request within its deadline; return whether its client left before that."""
        connection = cast("ClientProtocol", scope[CONNECTION])
        time_left = request.ends - self._components.clock()
        with anyio.CancelScope(
            deadline=asyncio.get_running_loop().time() + time_left
        ) as cancel_scope:
            disconnect_handler = _DisconnectHandler(cancel_scope)
            connection.on_lost = disconnect_handler.on_disconnect
            self._scopes.add(cancel_scope)
            if connection.is_lost:
                # The client left while its request was checked.
                disconnect_handler.on_disconnect()
            try:
                await exchange.run()
            except Exception as error:
                # A fault of the gateway must not leave a client without an answer.
                exchange.outcome = f"fault:{error!r}"
                self._components.log.note(
                    "request.fault",
                    request=request.demand.request_id,
                    trace="".join(traceback.format_exception(error)),
                )
                await answer.send_own_answer(
                    502 if exchange.runs else 503, self._retry_after_seconds()
                )
        self._scopes.discard(cancel_scope)
        connection.on_lost = None
        if cancel_scope.cancelled_caught:
            if disconnect_handler.disconnected:
                exchange.outcome = "client-gone"
            else:
                await exchange.time_out()
        return disconnect_handler.disconnected

    def _note_end(
        self, request: Request, answer: ClientAnswer, exchange: Exchange, cut_by: CutBy
    ) -> None:
        """Count and log the end of a request; `cut_by` applies if its answer is truncated."""
        elapsed = self._components.clock() - request.arrived
        exchange.note_ended()
        service = request.service.name
        truncated = answer.state is AnswerState.TRUNCATED
        self._components.work.decrement_running(service)
        self._components.metrics.record_request(service, exchange.outcome, elapsed)
        if truncated:
            self._components.metrics.record_truncated(service, cut_by.value)
        self._components.log.note(
            "request.ended",
            request=request.demand.request_id,
            route=request.route.name,
            team=request.team,
            resumes=request.demand.resumed_request_id,
            outcome=exchange.outcome,
            answer=answer.state.value,
            cut_by=cut_by.value if truncated else "",
            upstream=exchange.upstream,
            runs=exchange.runs,
            first_ms=exchange.first_ms,
            ms=round(elapsed * 1000, 1),
            configuration=self._components.configuration.revision,
        )

    async def _check(
        self, scope: Scope, receive: Receive, demand: Demand, arrived: float
    ) -> Request:
        await self._await_ready(demand, arrived)
        table = self._components.configuration.table
        if table is None or not self.accepts_requests or not self._components.holds_are_known():
            raise _TurnedAwayError(503, self._retry_after_seconds())
        headers = list(scope["headers"])
        if sum(len(name) + len(value) + 4 for name, value in headers) > table.limits.header_bytes:
            raise _TurnedAwayError(431)
        route = self._route(table, demand, scope)
        team = self._team(table, route, demand)
        body = await self._read_body(scope, receive, table)
        has_body = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
        origin = await self._find_origin(route, demand)
        service = table.services[self._take_ups.service_name(route, origin)]
        route = self._components.settings.route_for(route, team, service.name)
        limit = min(demand.time_left or route.timeout, route.timeout)
        caller = caller_hash(team.name if team else "", scope[TARGET], body)
        return Request(
            key=f"{self._components.name}/{next(self._request_numbers)}",
            demand=demand,
            method=str(scope["method"]).encode(),
            target=scope[TARGET],
            headers=request_head.forwarded_headers(headers, body if has_body else None),
            body=body,
            route=route,
            service=service,
            need=_need(
                route, demand, service.name, limit, team, caller, origin.version if origin else ""
            ),
            team=team.name if team else "",
            arrived=arrived,
            ends=arrived + limit,
        )

    async def _read_body(self, scope: Scope, receive: Receive, table: RoutingTable) -> bytes:
        """Return the body; raise _TurnedAwayError if it is too long, too slow or refused."""
        connection = cast("ClientProtocol", scope[CONNECTION])
        if connection.stated_body_bytes > table.limits.body_bytes:
            raise _TurnedAwayError(413)

        async def receive_unless_refused() -> MutableMapping[str, Any]:
            event = await receive()
            if connection.is_refused:
                raise _TurnedAwayError(503, self._retry_after_seconds())
            return event

        try:
            return await read_body(
                receive_unless_refused, table.limits.body_bytes, _BODY_TIMEOUT_SECONDS
            )
        except BodyTooLargeError as error:
            raise _TurnedAwayError(413) from error
        except BodyTimeoutError as error:
            raise _TurnedAwayError(_REQUEST_TIMEOUT, self._retry_after_seconds()) from error

    async def _find_origin(self, route: Route, demand: Demand) -> FoundOrigin | None:
        try:
            return await self._take_ups.find_origin(route, demand)
        except UnknownOriginError as error:
            raise _TurnedAwayError(503, _UNKNOWN_ORIGIN_RETRY_AFTER_SECONDS) from error

    def _is_ready(self) -> bool:
        return (
            self._components.configuration.table is not None and self._components.holds_are_known()
        )

    async def _await_ready(self, demand: Demand, arrived: float) -> None:
        """Wait until the gateway is ready after its start, while the client can still be served."""
        ends = arrived + ready_wait_seconds(demand.time_left or 0.0)
        if self._is_ready() or self.waiting_until_ready >= MAX_WAITING_REQUESTS:
            return
        self.waiting_until_ready += 1
        try:
            while (
                self.accepts_requests and not self._is_ready() and self._components.clock() < ends
            ):
                await anyio.sleep(_READY_POLL_INTERVAL_SECONDS)
        finally:
            self.waiting_until_ready -= 1

    def _retry_after_seconds(self) -> float:
        return ready_retry_after_seconds(self._components.rng.random())

    def _route(self, table: RoutingTable, demand: Demand, scope: Scope) -> Route:
        path = scope[TARGET].partition(b"?")[0].decode("latin-1")
        route = table.find_route(demand.host, path)
        if route is None:
            raise self._unknown_error(404)
        return route

    def _team(self, table: RoutingTable, route: Route, demand: Demand) -> Team | None:
        team = table.team(demand.api_key) if demand.api_key else None
        if team is None and table.needs_keys and not route.public:
            raise self._unknown_error(401)
        return team

    def _unknown_error(self, status: int) -> _TurnedAwayError:
        """Return the error for an unknown route or key; it may be new if the view is stale."""
        if not self._components.view_is_fresh():
            return _TurnedAwayError(503, self._retry_after_seconds())
        return _TurnedAwayError(status)


def _need(
    route: Route,
    demand: Demand,
    service: str,
    limit: float,
    team: Team | None,
    caller: int,
    version: str,
) -> Need:
    expected = demand.output_hint or int(demand.output_limit * _DEFAULT_OUTPUT_FRACTION)
    return Need(
        service=service,
        route=route.name,
        target=route.target,
        target_gap=route.target_gap,
        time_left=limit,
        stream=route.kind is RouteKind.STREAM,
        prompt_tokens=demand.prompt_tokens,
        output_tokens=min(expected, demand.output_limit) if demand.output_limit else expected,
        parts=demand.parts,
        tier=route.urgency.tier,
        team=team.name if team else "",
        team_rank=route.urgency.team_rank,
        share=route.share,
        caller=caller,
        version=version,
    )
