"""The driver of the list reader: treq's client on a pool that keeps one connection to the platform.

Where the member must stop reading it cancels the open call: at most the one under way reaches the
platform.
"""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING, Any

import structlog
from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory, IResponse
from zope.interface import implementer  # type: ignore[import-untyped]

from roselink.controller.host_list_reader import (
    Fetch,
    HostListReader,
    HostsListed,
    LogWarning,
    ReaderEffect,
    ReaderTimes,
    WakeAt,
    parse_page,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred

    from roselink.model.fleet import Host
    from roselink.model.settings import Platform

CONNECT_TIMEOUT_S = 0.6
IDLE_TIMEOUT_S = 30  # an idle connection is closed after so long

log = structlog.get_logger("roselink.platform")


@implementer(IAgentEndpointFactory)
class _ByNumber:
    """Endpoints for addresses that are IP numbers: no name is looked up."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        return TCP4ClientEndpoint(
            self._reactor, uri.host.decode(), uri.port, timeout=CONNECT_TIMEOUT_S
        )


class HostListClient:
    """Reads the list while it holds the role; `listed(epoch, hosts)` gets each whole list."""

    def __init__(
        self,
        reactor: Any,
        platform: Platform,
        listed: Callable[[int, tuple[Host, ...]], None],
        clock: Callable[[], float] = time.monotonic,
        times: ReaderTimes | None = None,
    ) -> None:
        self._reactor = reactor
        self._clock, self._listed = clock, listed
        times = times or ReaderTimes()
        self._call_s = times.call_s
        self._reader = HostListReader(platform.rate_per_s, random.Random(), times)
        self._url = f"http://{platform.address[0]}:{platform.address[1]}/instances"
        self._pool = HTTPConnectionPool(reactor, persistent=True)  # type: ignore[no-untyped-call]
        self._pool.maxPersistentPerHost = 1
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._pool.retryAutomatically = False
        endpoints = _ByNumber(reactor)
        agent = Agent.usingEndpointFactory(reactor, endpoints, self._pool)  # type: ignore[no-untyped-call]
        self._http = HTTPClient(agent)
        self._wake: Any = None
        self._call: Deferred[Any] | None = None

    def set_role(self, epoch: int | None) -> None:
        """Hold the reader's role in a view; None: not at all."""
        if epoch is None:
            self._apply(self._reader.stop())
            self._cancel()
        else:
            self._apply(self._reader.start(self._clock(), epoch))

    def close(self) -> Deferred[None]:
        """Stop, and end the connection."""
        self.set_role(None)
        closed: Deferred[None] = self._pool.closeCachedConnections()  # type: ignore[no-untyped-call]
        return closed

    def _cancel(self) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        self._wake = None
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def _apply(self, effects: list[ReaderEffect]) -> None:
        for effect in effects:
            match effect:
                case Fetch(number, page_token):
                    self._fetch(number, page_token)
                case WakeAt(at):
                    self._wake_at(at)
                case HostsListed(epoch, hosts):
                    self._listed(epoch, hosts)
                case LogWarning(event, detail):
                    log.warning(event, detail=detail)

    def _wake_at(self, at: float) -> None:
        if self._wake is not None and self._wake.active():
            self._wake.cancel()
        self._wake = self._reactor.callLater(max(0.0, at - self._clock()), self._woken)

    def _woken(self) -> None:
        self._wake = None
        self._apply(self._reader.woken(self._clock()))

    def _fetch(self, number: int, page_token: str | None) -> None:
        if self._call is not None:  # of a former view
            self._call.cancel()
        call = self._http.get(self._url, params={"page_token": page_token} if page_token else None)
        whole: Deferred[tuple[int, bytes]] = call.addCallback(self._body)
        whole.addTimeout(self._call_s, self._reactor)
        self._call = whole
        whole.addBoth(self._finish, number, whole)

    def _body(self, response: Any) -> Deferred[tuple[int, bytes]]:
        answer: IResponse = response
        body: Deferred[bytes] = response.content()
        return body.addCallback(lambda content: (answer.code, content))

    def _finish(self, outcome: Any, number: int, call: Deferred[Any]) -> None:
        if self._call is call:
            self._call = None
        if isinstance(outcome, Failure):
            page: Any = f"{type(outcome.value).__name__}: {outcome.getErrorMessage()}"
        else:
            page = parse_page(*outcome)
        self._apply(self._reader.answered(self._clock(), number, page))
