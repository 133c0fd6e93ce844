"""Steps of a fault plan that concern engines."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

from tests.soak.plan import Action
from tests.soak.version_streams import VERSIONS

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.soak.moving_engine import MovingEngine
    from tests.soak.plan import Step

_KEPT_ENGINES = 2
"""Number of engines that keep the version that is rolled away from."""
_ROLL_INTERVAL_SECONDS = 0.4
_ROLL_DRAIN_SECONDS = 1.5


async def perform_engine_step(
    step: Step, engine: MovingEngine, engines: Sequence[MovingEngine]
) -> None:
    """Perform a step, at `engine` or at several of all `engines`."""
    match step.action:
        case Action.TERMINATE_ENGINE:
            await engine.terminate()
        case Action.DRAIN_ENGINE:
            await engine.drain()
        case Action.DRAIN_SLOWLY:
            await engine.drain(step.seconds)
        case Action.REJECT_AT_ENGINE:
            engine.reject_for(step.seconds)
        case Action.REJECT_AT_ALL_ENGINES:
            for each_engine in engines:
                each_engine.reject_for(step.seconds / 2)
        case Action.LIMIT_ENGINE:
            engine.state_limit(step.rate)
        case Action.LIMIT_ALL_ENGINES:
            for each_engine in engines:
                each_engine.state_limit(step.rate)
        case Action.LIFT_LIMITS:
            for each_engine in engines:
                each_engine.state_limit(math.inf)
        case Action.ANNOUNCE_LEAVING:
            await engine.announce_leaving()
        case Action.LEAVE_WITH_NOTICE:
            await engine.leave(step.seconds, states_time=step.pick % 2 == 0)
        case Action.SLOW_ENGINE:
            engine.slow_down(step.seconds)
        case Action.STALL_ENGINE:
            engine.stall(step.seconds)
        case Action.ROLL_VERSION:
            await _roll(step, engines)
        case Action.BREAK_STREAMS:
            for each_engine in engines[step.pick % 2 :: 2]:
                each_engine.break_streams_for(step.seconds)
        case Action.DISTURB_CALLS:
            for each_engine in engines[step.pick % 2 :: 2]:
                each_engine.faults.disturb_calls(step.seconds)
        case Action.DISTURB_HANDLES:
            for each_engine in engines[step.pick % 2 :: 2]:
                each_engine.faults.disturb_handles(step.seconds)


async def _roll(step: Step, engines: Sequence[MovingEngine]) -> None:
    """Replace a part of the engines by ones of a version, and leave two of the other one."""
    version = VERSIONS[step.pick % len(VERSIONS)]
    others = [item for item in engines if item.version != version]
    for engine in others[: max(0, len(others) - _KEPT_ENGINES)]:
        await engine.roll(version, _ROLL_DRAIN_SECONDS)
        await asyncio.sleep(_ROLL_INTERVAL_SECONDS)
