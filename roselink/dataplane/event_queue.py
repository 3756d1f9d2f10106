"""Events on their way to the decider: one after the other, never from inside it."""

from __future__ import annotations

import logging
from collections import deque
from contextlib import contextmanager
from typing import TYPE_CHECKING

from roselink.routing.events_and_actions import (
    Action,
    AttemptEnded,
    BudgetDecided,
    Event,
    FirstEvent,
    RequestArrived,
    StartTimer,
)

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterator

    from roselink.dataplane.interfaces import Decider

log = logging.getLogger("roselink.dataplane")


class EventQueue:
    """Feeds one decider.

    `perform` carries an action out; `fail` ends a request that a fault has struck.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        perform: Callable[[Action], None],
        fail: Callable[[int], None],
    ) -> None:
        """Start empty."""
        self._loop = loop
        self._decider = decider
        self._perform = perform
        self._fail = fail
        self._events: deque[Event] = deque()
        self._busy = False

    def handle(self, event: Event) -> None:
        """Give the decider one event.

        What an action brings about at once is fed after it, in order.
        """
        self._events.append(event)
        self.process()

    def enqueue(self, event: Event) -> None:
        """Put one behind those that wait."""
        self._events.append(event)

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Let events wait until the block is over."""
        busy = self._busy
        self._busy = True
        try:
            yield
        finally:
            self._busy = busy
            self.process()

    def process(self) -> None:
        """Feed all that waits, unless that is being done."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            actions = self._decider.handle(self._loop.time(), event)
        except Exception:  # one request's fault must not take the gateway down
            log.exception("decider_failed event=%s", type(event).__name__)
            if isinstance(event, RequestArrived):
                self._fail(event.facts.number)
            elif isinstance(event, AttemptEnded | BudgetDecided | FirstEvent):
                self._fail(event.number)
            return
        for action in actions:
            try:
                self._perform(action)
            except Exception:
                log.exception("action_failed action=%s", type(action).__name__)
                if not isinstance(action, StartTimer):
                    self._fail(action.number)
