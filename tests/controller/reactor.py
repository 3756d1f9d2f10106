"""Twisted's reactor on an event loop for tests, installed when this module is first imported.

Tests that need the reactor import this module before anything else that imports Twisted.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from roselink.controller.twisted_reactor import install_reactor

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")

LOOP = asyncio.new_event_loop()
REACTOR = install_reactor(LOOP)
REACTOR.startRunning(installSignalHandlers=False)

TIMEOUT_S = 10.0


def run_on_reactor(coroutine: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on the reactor's loop; fail if it hangs."""

    async def with_timeout() -> Result:
        async with asyncio.timeout(TIMEOUT_S):
            return await coroutine

    return LOOP.run_until_complete(with_timeout())
