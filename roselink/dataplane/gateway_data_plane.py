"""The data plane of one gateway, wired: listeners, driver, pool, readiness, draining."""

from __future__ import annotations

import asyncio
import logging
import zlib
from typing import TYPE_CHECKING

from roselink.dataplane.client_server import FleetServer
from roselink.dataplane.decision_driver import DecisionDriver
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

SWEEP_S = 0.25
# A sweep that comes so late ends nothing: what came meanwhile has not been read.
SWEEP_OVERDUE_S = 1.0
# After SIGTERM: the platform asks once a second, and sends connections until two misses.
ACCEPT_AFTER_SIGTERM_S = 2.5
# Of the time to the kill: for the last responses to leave and the process to end.
EXIT_RESERVE_S = 1.0
CLOSE_POLL_S = 0.02
# Not for clients and hosts: files, peers, libraries.
OTHER_DESCRIPTORS = 300


class GatewayDataPlane:
    """Public face: `start`, `begin_drain`, `drained`, `stop`, `status_line`."""

    def __init__(
        self,
        settings: ProcessSettings,
        loop: asyncio.AbstractEventLoop,
        decider: Decider,
        authority: Authority,
        quotas: Quotas,
        shared_budget: SharedBudget,
    ) -> None:
        """Wire the parts; nothing listens before `start`."""
        self._settings = settings
        self._loop = loop
        self._authority = authority
        descriptors = Descriptors(max(128, settings.resources.max_fds - OTHER_DESCRIPTORS))
        self.host_pool = FleetHostPool(loop, descriptors)
        seed = zlib.crc32(settings.node_name.encode())
        self.driver = DecisionDriver(
            loop, decider, self.host_pool, authority, quotas, shared_budget, seed
        )
        free_descriptor = self.host_pool.drop_oldest_idle
        self.server = FleetServer(loop, self.driver, descriptors, free_descriptor)
        self.readiness = ReadinessServer(loop, self.ready, descriptors, free_descriptor)
        self.port = self.readiness_port = 0
        self.draining = False
        self._drain_ends_at = 0.0
        self._drained = asyncio.Event()
        self._drain_task: asyncio.Task[None] | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._swept_at = loop.time()

    def ready(self) -> bool:
        """Whether the platform should send clients here."""
        known = self.driver.route_table is not None and self.driver.host_directory.any_ready()
        return known and not self.draining and self._authority.may_use_keys()

    async def start(self) -> None:
        """Listen; raises `OSError` when an address can't be bound."""
        self._authority.subscribe(self._refresh)
        self.port = await self._listen(self.server, "http")
        self.readiness_port = await self._listen(self.readiness, "readiness")
        self._swept_at = self._loop.time()
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)

    async def _listen(self, server: HttpServer, name: str) -> int:
        address = self._settings.bind.get(name)
        return 0 if address is None else await server.listen(*address)

    def _refresh(self, snapshot: Snapshot) -> None:
        known = self.driver.route_table is not None
        hosts = self.driver.host_directory.any_ready()
        self.driver.apply_snapshot()
        if not known or hosts != self.driver.host_directory.any_ready():
            log.info(
                "configuration_in_force generation=%d hosts=%d",
                snapshot.configuration.generation,
                len(snapshot.hosts),
            )
        if self.driver.route_table is not None:
            self.server.limit(self.driver.route_table.configuration.limits)

    def _sweep(self) -> None:
        now = self._loop.time()
        overdue = now - self._swept_at > SWEEP_S + SWEEP_OVERDUE_S
        self._swept_at = now
        self._sweep_timer = self._loop.call_later(SWEEP_S, self._sweep)
        if overdue:
            return
        try:
            self.server.sweep()
            self.readiness.sweep()
            self.host_pool.sweep()
        except Exception:  # one connection's fault must not end the care for all others
            log.exception("sweep_failed")

    # The end.

    def pool_payoffs(self, payoffs: tuple[tuple[str, float], ...]) -> None:
        """Payoffs of hosts over all gateways, by id, 0 to 1; those not named have 1."""
        self.driver.handle_event(PooledPayoffs(payoffs))

    def begin_drain(self) -> None:
        """Not ready at once; connections are taken while the platform may still send them."""
        if self.draining:
            return
        self.draining = self.server.draining = True
        self._drain_ends_at = self._loop.time() + max(
            ACCEPT_AFTER_SIGTERM_S + CLOSE_POLL_S,
            self._settings.thresholds.grace_s - EXIT_RESERVE_S,
        )
        self.driver.drain(self._drain_ends_at)
        self._drain_task = self._loop.create_task(self._drain())

    async def _drain(self) -> None:
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self.server.stop_accepting()
        while (
            self.server.connections and self._loop.time() < self._drain_ends_at + 2 * CLOSE_POLL_S
        ):
            self.server.close_idle()
            await asyncio.sleep(CLOSE_POLL_S)
        self._drained.set()

    async def drained(self) -> None:
        """Returns once all that was read has its response, or there is no more time."""
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
        """Counters and what is open, for a log."""
        counts = " ".join(f"{name}={count}" for name, count in sorted(self.driver.counts.items()))
        return (
            f"open={len(self.driver.open_requests)} clients={len(self.server.connections)} {counts}"
        )
