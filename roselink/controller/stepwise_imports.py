"""Imports a core member's HTTP libraries in short steps while its chain runs.

These imports take most of a start's processor time. None is started while the members are agreeing
on a view: each message of the agreement would wait for an import at every member that it reaches.
The lists of modules are in the order in which a start needs them.
"""

from __future__ import annotations

import asyncio
import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Twisted's reactor. Each of these imports takes 10 to 20 ms at most, so that the event loop gets a
# turn often enough; the modules that they import themselves are listed before them.
REACTOR_MODULES = (
    "zope.interface.interfaces",
    "attr._make",
    "attr",
    "email.message",
    "http.cookiejar",
    "twisted.internet.interfaces",
    "twisted.python.log",
    "twisted.internet.protocol",
    "twisted.internet.tcp",
    "twisted.internet.asyncioreactor",
)
# The client of the platform's host list, in equally short steps; loaded after the reactor.
CLIENT_MODULES = (
    "twisted.internet.endpoints",
    "twisted.web.http",
    "twisted.web.client",
    "structlog.processors",
    "structlog",
    "roselink.controller.logging_setup",
    "treq.api",
    "treq.client",
    "roselink.controller.host_list_client",
)
# The operator's HTTP interface.
SERVER_MODULES = (
    "twisted.cred.checkers",
    "twisted.spread.pb",
    "twisted.web.server",
    "werkzeug.datastructures",
    "werkzeug.http",
    "werkzeug.sansio.response",
    "werkzeug.routing",
    "klein._form",
    "klein",
    "voluptuous",
    "roselink.controller.validation",
    "roselink.controller.updates",
    "roselink.controller.api",
)
# Interval, in seconds, of the checks whether the members are agreeing on a view.
VIEW_CHECK_INTERVAL_S = 0.02
# Total time, in seconds, that imports wait while the members agree on a view. More delays the HTTP
# interface, less delays the agreement.
MAX_VIEW_WAIT_S = 1.5


class StepwiseImporter:
    """Imports modules in order; the event loop runs between two of them."""

    def __init__(self, view_forming: Callable[[], bool], clock: Callable[[], float]) -> None:
        """Make the importer.

        Args:
            view_forming: whether the members are agreeing on a view now.
            clock: a monotonic clock, in seconds.
        """
        self._view_forming = view_forming
        self._clock = clock
        self._wait_budget_s = MAX_VIEW_WAIT_S

    async def load(self, names: tuple[str, ...]) -> None:
        """Import these modules."""
        for name in names:
            await asyncio.sleep(0)
            await self._wait_for_view()
            importlib.import_module(name)

    async def _wait_for_view(self) -> None:
        """Wait while a view is being agreed, until the total wait is used up."""
        while self._wait_budget_s > 0 and self._view_forming():
            began_at = self._clock()
            await asyncio.sleep(VIEW_CHECK_INTERVAL_S)
            self._wait_budget_s -= self._clock() - began_at
