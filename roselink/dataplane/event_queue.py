"""Queue of events for the decider, which is never called re-entrantly."""

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
    """Passes events to one decider in order.

    `perform` executes an action; `fail` ends the request in which an exception occurred.
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
        """Pass one event to the decider.

        Events that its actions cause immediately are passed after it, in order.
        """
        self._events.append(event)
        self.process()

    def enqueue(self, event: Event) -> None:
        """Append an event without processing it."""
        self._events.append(event)

    @contextmanager
    def deferred(self) -> Iterator[None]:
        """Defer the processing of events to the end of the block."""
        busy = self._busy
        self._busy = True
        try:
            yield
        finally:
            self._busy = busy
            self.process()

    def process(self) -> None:
        """Process all queued events, unless processing is already under way."""
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
        except Exception:  # an error in one request must not stop the gateway
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
