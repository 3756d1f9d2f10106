"""Installs Twisted's reactor on the asyncio event loop, and types the methods that are used."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from twisted.internet.address import IPv4Address
    from twisted.internet.defer import Deferred
    from twisted.web.server import Site


class DelayedCall(Protocol):
    """A call that the reactor will make."""

    def active(self) -> bool:
        """Whether the call is neither made nor cancelled yet."""

    def cancel(self) -> None:
        """Cancel an active call."""


class ListeningPort(Protocol):
    """A port on which the reactor accepts connections."""

    def getHost(self) -> IPv4Address:
        """The address that the port listens on."""

    def stopListening(self) -> Deferred[None]:
        """Accept no more connections."""


class Clock(Protocol):
    """A scheduler of delayed calls: the reactor, or a test's clock."""

    def callLater(self, delay: float, callable: Callable[[], object]) -> DelayedCall:
        """Call `callable` after `delay` seconds."""


class Reactor(Clock, Protocol):
    """The reactor's methods that this package calls."""

    running: bool

    def listenTCP(
        self, port: int, factory: Site, backlog: int = 50, interface: str = ""
    ) -> ListeningPort:
        """Accept connections at this port of this address."""

    def getWriters(self) -> list[object]:
        """The connections that have bytes which the kernel has not taken yet."""

    def startRunning(self, *, installSignalHandlers: bool) -> None:
        """Run the start-up triggers; the event loop itself is run by its owner."""


def install_reactor(loop: asyncio.AbstractEventLoop) -> Reactor:
    """Install Twisted's reactor on the event loop and return it.

    This must come before anything else imports `twisted.internet.reactor`. No connection uses TLS,
    so its libraries are kept from being loaded.
    """
    sys.modules.setdefault("OpenSSL", None)  # type: ignore[arg-type]
    asyncioreactor = importlib.import_module("twisted.internet.asyncioreactor")
    asyncioreactor.install(loop)
    reactor: Reactor = importlib.import_module("twisted.internet.reactor")
    return reactor
