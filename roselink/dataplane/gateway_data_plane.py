"""The data plane of one gateway: listeners, driver, connection pool, readiness and draining."""

from __future__ import annotations

import asyncio
import logging
import zlib
from typing import TYPE_CHECKING

from roselink.dataplane.client_server import ClientServer
from roselink.dataplane.decision_driver import DecisionDriver
from roselink.dataplane.drain import DrainTimes
from roselink.dataplane.fleet_host_pool import FleetHostPool
from roselink.dataplane.readiness_server import ReadinessServer
from roselink.http.descriptors import Descriptors
from roselink.routing.events_and_actions import PooledPayoffs

if TYPE_CHECKING:
    from roselink.dataplane.interfaces import Authority, Decider, Quotas, SharedBudget
    from roselink.http.server import HttpServer
    from roselink.model.fleet import Snapshot
    from roselink.model.settings import ProcessSettings

log = logging.getLogger("roselink.dataplane")

SWEEP_INTERVAL_S = 0.25
# A sweep delayed by more than this closes nothing, because data received meanwhile is still unread.
SWEEP_OVERDUE_LIMIT_S = 1.0
# Interval between two checks whether every connection has closed.
CLOSE_POLL_S = 0.02
# File descriptors for uses other than clients and hosts: files, peers, libraries.
RESERVED_DESCRIPTORS = 300


class GatewayDataPlane:
    """Owns the components of the data plane and starts, drains and stops them."""

    def __init__(
        self,
        settings: ProcessSettings,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        authority: Authority,
        quotas: Quotas,
        shared_budget: SharedBudget,
    ) -> None:
        """Create the components; nothing listens before `start`."""
        self._settings = settings
        self._loop = loop
        self._authority = authority
        descriptors = Descriptors(max(128, settings.resources.max_fds - RESERVED_DESCRIPTORS))
        self.host_pool = FleetHostPool(loop, descriptors)
        seed = zlib.crc32(settings.node_name.encode())
        self.driver = DecisionDriver(
            loop, decider, self.host_pool, authority, quotas, shared_budget, seed
        )
        free_descriptor = self.host_pool.drop_oldest_idle
        self.server = ClientServer(loop, self.driver, descriptors, free_descriptor)
        self.readiness = ReadinessServer(loop, self.ready, descriptors, free_descriptor)
        self.port = self.readiness_port = 0
        self.draining = False
        self._drained = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._swept_at = loop.time()

    def ready(self) -> bool:
        """Whether the platform should send clients here."""
        configured = self.driver.route_table is not None and self.driver.host_directory.any_ready()
        return configured and not self.draining and self._authority.may_use_keys()

    async def start(self) -> None:
        """Start to listen; raises `OSError` if an address can't be bound."""
        self._authority.subscribe(self._apply_snapshot)
        self.port = await self._listen(self.server, "http")
        self.readiness_port = await self._listen(self.readiness, "readiness")
        self._swept_at = self._loop.time()
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    async def _listen(self, server: HttpServer, name: str) -> int:
        address = self._settings.bind.get(name)
        return 0 if address is None else await server.listen(*address)

    def _apply_snapshot(self, snapshot: Snapshot) -> None:
        configured = self.driver.route_table is not None
        had_ready_hosts = self.driver.host_directory.any_ready()
        self.driver.apply_snapshot()
        if not configured or had_ready_hosts != self.driver.host_directory.any_ready():
            log.info(
                "configuration_in_force generation=%d hosts=%d",
                snapshot.configuration.generation,
                len(snapshot.hosts),
            )
        if self.driver.route_table is not None:
            self.server.apply_limits(self.driver.route_table.configuration.limits)

    def _sweep(self) -> None:
        now = self._loop.time()
        overdue = now - self._swept_at > SWEEP_INTERVAL_S + SWEEP_OVERDUE_LIMIT_S
        self._swept_at = now
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if overdue:
            return
        try:
            self.server.sweep()
            self.readiness.sweep()
            self.host_pool.sweep()
        except Exception:  # an error in one connection must not stop the sweeps
            log.exception("sweep_failed")

    # Payoffs, draining and shutdown.

    def set_pooled_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None:
        """Set payoffs (0 to 1) pooled over all gateways, by host id; hosts not listed have 1."""
        self.driver.handle_event(PooledPayoffs(payoffs))

    def begin_drain(self) -> None:
        """Report not ready at once; accept connections while the platform may still send them."""
        if self.draining:
            return
        self.draining = self.server.draining = True
        times = DrainTimes.after_sigterm(self._loop.time(), self._settings.thresholds.grace_s)
        self.driver.drain(times)
        self._drain_task = self._loop.create_task(self._drain(times))

    async def _drain(self, times: DrainTimes) -> None:
        await asyncio.sleep(times.accept_until - self._loop.time())
        await self.server.stop_accepting()
        await self._close_connections(times.requests_end_at)
        self.server.end_requests()
        await self._close_connections(times.connections_end_at)
        log.info(
            "drain_ended requests=%d connections=%d refused=%d cut=%d",
            len(self.driver.open_requests),
            len(self.server.connections),
            self.driver.counts["refused_draining"],
            self.driver.counts["cut"],
        )
        self._drained.set()

    async def _close_connections(self, until: float) -> None:
        """Close each connection once it is idle, until all are closed or the time is `until`."""
        while self.server.connections and self._loop.time() < until:
            self.server.close_idle()
            await asyncio.sleep(CLOSE_POLL_S)

    async def drained(self) -> None:
        """Wait until every request has its response or the grace time is used up."""
        await self._drained.wait()

    def stop(self) -> None:
        """Close the listeners and all connections."""
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
        if self._drain_task is not None:
            self._drain_task.cancel()
        for server in (self.server, self.readiness):
            server.stop_listening()
            for connection in list(server.connections):
                connection.abort()
        for host in self.driver.hosts.values():
            self.host_pool.retire(host)

    def status_line(self) -> str:
        """Counters and the numbers of open requests and connections, for the log."""
        counts = " ".join(f"{name}={count}" for name, count in sorted(self.driver.counts.items()))
        return (
            f"open={len(self.driver.open_requests)} clients={len(self.server.connections)} {counts}"
        )
