"""Runs the engines, store, clients and proxy of a soak with little processor time.

All of them share one process. If that process is late, gateways seem late: with the debug mode of
asyncio, which `IsolatedAsyncioTestCase` switches on, it had no processor time left on a busy
machine.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

T = TypeVar("T")


def run_light(run: Coroutine[object, object, T]) -> T:
    """Run a coroutine on an event loop without its debug mode."""
    return asyncio.run(run, debug=False)
