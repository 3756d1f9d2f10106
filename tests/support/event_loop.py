"""Runs tests on the gateway's event loop, uvloop, with a time-out."""

from __future__ import annotations

import asyncio
import functools
from typing import TYPE_CHECKING, Any

import uvloop

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

TEST_TIMEOUT_S = 20.0


def on_loop(test: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Run an async test on uvloop, with a time-out of `TEST_TIMEOUT_S`."""

    @functools.wraps(test)
    def run(*args: Any, **kwargs: Any) -> None:
        uvloop.run(asyncio.wait_for(test(*args, **kwargs), TEST_TIMEOUT_S))

    return run


async def until(condition: Callable[[], bool]) -> None:
    """Run the loop until a condition holds; the test's time-out limits the wait."""
    while not condition():
        await asyncio.sleep(0.005)
