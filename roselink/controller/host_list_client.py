"""Performs the effects of `HostListReader`, with treq over one persistent connection.

When this core member loses the reader's role, its open call to the platform is cancelled and none
follows, so at most that call still reaches the platform.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Protocol

import structlog
from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer  # type: ignore[import-untyped]

from roselink.controller.host_list_reader import (
    Fetch,
    HostListReader,
    HostsListed,
    LogWarning,
    Page,
    ReaderEffect,
    ReaderTimes,
    SetTimer,
    parse_page,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.web.client import URI

    from roselink.controller.twisted_reactor import DelayedCall, Reactor
    from roselink.model.fleet import Host
    from roselink.model.settings import PlatformSettings

CONNECT_TIMEOUT_S = 0.6
# Time after which an idle connection is closed.
IDLE_TIMEOUT_S = 30

log = structlog.get_logger("roselink.platform")


class _Response(Protocol):
    """The part of treq's response that the client uses."""

    code: int

    def content(self) -> Deferred[bytes]:
        """Read the body."""


@implementer(IAgentEndpointFactory)
class _IpEndpointFactory:
    """Creates endpoints for numeric IP addresses, without name resolution."""

    def __init__(self, reactor: Reactor) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode(), uri.port, timeout=CONNECT_TIMEOUT_S
        )


class HostListClient:
    """Reads the host list while this core member has the reader's role.

    That role belongs to the tail of the active view.
    """

    def __init__(
        self,
        reactor: Reactor,
        platform: PlatformSettings,
        on_hosts_listed: Callable[[int, tuple[Host, ...]], None],
        clock: Callable[[], float] = time.monotonic,
        times: ReaderTimes | None = None,
    ) -> None:
        """Create the client; it reads nothing before `set_role`.

        Args:
            reactor: Twisted's reactor.
            platform: the platform's address, and the calls per second that it allows.
            on_hosts_listed: called with the view's epoch and each complete list.
            clock: a monotonic clock, in seconds.
            times: bounds of the reader's schedule.
        """
        self._reactor = reactor
        self._clock = clock
        self._on_hosts_listed = on_hosts_listed
        times = times or ReaderTimes()
        self._call_timeout_s = times.call_timeout_s
        self._reader = HostListReader(platform.rate_per_s, random.Random(), times)
        self._url = f"http://{platform.address[0]}:{platform.address[1]}/instances"
        self._pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        self._pool.maxPersistentPerHost = 1
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._pool.retryAutomatically = False
        endpoint_factory = _IpEndpointFactory(reactor)
        agent = Agent.usingEndpointFactory(reactor, endpoint_factory, self._pool)  # type: ignore[no-untyped-call]
        self._http = HTTPClient(agent)
        self._timer: DelayedCall | None = None
        self._open_call: Deferred[tuple[int, bytes]] | None = None

    def set_role(self, epoch: int | None) -> None:
        """Take the reader's role in the view with this epoch; None: give it up."""
        if epoch is None:
            self._apply(self._reader.stop())
            self._cancel_timer_and_call()
        else:
            self._apply(self._reader.start(self._clock(), epoch))

    def close(self) -> Deferred[None]:
        """Stop reading and close the connection."""
        self.set_role(None)
        closed: Deferred[None] = self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]
        return closed

    def _cancel_timer_and_call(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        call = self._open_call
        self._open_call = None
        if call is not None:
            call.cancel()

    def _apply(self, effects: list[ReaderEffect]) -> None:
        for effect in effects:
            match effect:
                case Fetch(number, page_token):
                    self._fetch(number, page_token)
                case SetTimer(at):
                    self._set_timer(at)
                case HostsListed(epoch, hosts):
                    self._on_hosts_listed(epoch, hosts)
                case LogWarning(event, detail):
                    log.warning(event, detail=detail)

    def _set_timer(self, at: float) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = self._reactor.callLater(max(0.0, at - self._clock()), self._timer_expired)

    def _timer_expired(self) -> None:
        self._timer = None
        self._apply(self._reader.timer_expired(self._clock()))

    def _fetch(self, number: int, page_token: str | None) -> None:
        # A call that is still open belongs to a former view.
        if self._open_call is not None:
            self._open_call.cancel()
        call = self._http.get(self._url, params={"page_token": page_token} if page_token else None)
        response: Deferred[tuple[int, bytes]] = call.addCallback(self._read_body)
        response.addTimeout(self._call_timeout_s, self._reactor)  # type: ignore[arg-type]
        self._open_call = response
        response.addBoth(self._call_ended, number, response)

    def _read_body(self, response: _Response) -> Deferred[tuple[int, bytes]]:
        return response.content().addCallback(lambda content: (response.code, content))

    def _call_ended(
        self, outcome: Failure | tuple[int, bytes], number: int, call: Deferred[tuple[int, bytes]]
    ) -> None:
        if self._open_call is call:
            self._open_call = None
        if isinstance(outcome, Failure):
            page_or_reason: Page | str = (
                f"{type(outcome.value).__name__}: {outcome.getErrorMessage()}"
            )
        else:
            page_or_reason = parse_page(*outcome)
        self._apply(self._reader.fetch_completed(self._clock(), number, page_or_reason))
