"""Assembles and runs one gateway process: start-up, signal handling, drain and exit."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

import uvloop

from roselink.budgets.budget_service import BudgetService
from roselink.distribution.pull_client import PullClient
from roselink.gossip.peer_sampling_service import PeerSamplingService
from roselink.http.logs import configure_logging
from roselink.model.fleet import Member
from roselink.model.settings import DEFAULT_PATH, ENVIRONMENT_VARIABLE, ProcessSettings
from roselink.protocol.payoffs import HostOutcomes
from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.peer_server import PeerServer
from roselink.router.interfaces import DataPlane, Decider
from roselink.router.status_log import StatusLog

if TYPE_CHECKING:
    from roselink.protocol.peer_connection import Address, ReplySender
    from roselink.protocol.records import Record

log = logging.getLogger("roselink.router")

EXIT_START_FAILED = 3
DeciderFactory = Callable[..., Decider]
DataPlaneFactory = Callable[..., DataPlane]


def run(settings: ProcessSettings) -> None:
    """Run the gateway until it has drained after SIGTERM or SIGINT.

    Raises:
        SystemExit: with `EXIT_START_FAILED` if an address cannot be bound.
    """
    configure_logging()
    path = os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH)
    from roselink.dataplane.gateway_data_plane import GatewayDataPlane
    from roselink.routing.fleet_decider import FleetDecider

    try:
        uvloop.run(serve(settings, path, FleetDecider, GatewayDataPlane))
    except OSError as error:
        print(f"roselink.router: cannot start: {error}", file=sys.stderr)
        sys.exit(EXIT_START_FAILED)


async def serve(
    settings: ProcessSettings,
    settings_path: str,
    make_decider: DeciderFactory,
    make_data_plane: DataPlaneFactory,
) -> None:
    """Start the gateway, wait for SIGTERM or SIGINT, and drain.

    Args:
        settings: the settings of this process.
        settings_path: the file that they were read from, for reloads.
        make_decider: makes the decider from the zone, the seed, and the ratio and window of the
            retry budget.
        make_data_plane: makes the data plane from the settings, the loop, the decider, and the
            services that `roselink.dataplane.interfaces` declares.

    Raises:
        OSError: an address cannot be bound.
    """
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    services = ControlServices(settings, settings_path)
    await services.start()
    thresholds = settings.thresholds
    seed = int.from_bytes(os.urandom(8), "big")
    decider = make_decider(
        settings.zone, seed, thresholds.retry_budget_ratio, thresholds.retry_window_s
    )
    data_plane = make_data_plane(
        settings, loop, decider, services.pull_client, services.budgets, services.budgets
    )
    services.pull_client.exchange_payoffs(
        lambda: tuple(HostOutcomes(*outcome) for outcome in decider.take_unreported_outcomes()),
        lambda pooled: data_plane.set_pooled_payoffs(pooled.hosts),
    )
    await data_plane.start()
    status_log = StatusLog(loop, data_plane.status_line)
    status_log.start()
    services.pull_client.set_serving(serving=True)
    loop.add_signal_handler(signal.SIGHUP, services.pull_client.reload)
    gc.collect()
    # Objects that exist now live as long as the process: later collections need not traverse them.
    gc.freeze()
    log.info("gateway_started node=%s", settings.node_name)
    await stopping.wait()
    log.info("gateway_draining")
    data_plane.begin_drain()
    services.budgets.begin_drain()
    services.pull_client.set_serving(serving=False)
    await data_plane.drained()
    status_log.stop()
    data_plane.stop()
    services.stop()
    log.info("gateway_drained")


class ControlServices:
    """A gateway's services outside the data plane: pull client, budgets and peer sampling."""

    def __init__(self, settings: ProcessSettings, settings_path: str) -> None:
        """Make the services. `settings_path` is the settings file, for reloads."""
        self._listen: Address = (settings.ip, settings.peer_port)
        incarnation = int.from_bytes(os.urandom(7), "big")
        self.member = Member(settings.node_name, "{}:{}".format(*self._listen), incarnation)
        self.pool = PeerPool(self._handle)
        self.pull_client = PullClient(settings, settings_path, self.pool, self.member)
        self.budgets = BudgetService(
            self.member, settings.thresholds, self.pool, self.pull_client.pull_soon
        )
        self.peer_sampling = PeerSamplingService(
            self.member, self.pool, self.pull_client.add_core_hints, self.pull_client.pull_soon
        )
        self.pull_client.subscribe(self.budgets.apply)
        self.pull_client.subscribe(self.peer_sampling.apply)
        self.pull_client.subscribe_confirmed(self._on_confirmed)
        self._server = PeerServer(self._handle)

    async def start(self) -> None:
        """Listen for peers, and start pulling.

        Raises:
            OSError: the address for peers cannot be bound.
        """
        await self._server.listen(*self._listen)
        self.pull_client.start()
        self.peer_sampling.start()

    def stop(self) -> None:
        """Close all connections and cancel all timers."""
        self.pull_client.stop()
        self.peer_sampling.stop()
        self.budgets.stop()
        self._server.close()
        self.pool.close()

    def _on_confirmed(self, at: float) -> None:
        self.budgets.confirm(at)
        self.peer_sampling.confirm(at, self.pull_client.cores())

    def _handle(self, peer: Address, message: Record, reply: ReplySender) -> None:
        if not (self.budgets.handle(message, reply) or self.peer_sampling.handle(message, reply)):
            log.warning("record_unknown peer=%s record=%s", peer[0], type(message).__name__)
