"""Entry point of one gateway: start, signals, reload and exit (`python -m roselink.gateway`)."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING

import uvloop

from roselink.balancer.decider import Balancer
from roselink.gateway.config import (
    Config,
    ReservedDescriptor,
    changed_fields,
    load,
    reload,
)
from roselink.gateway.discovery import Discovery
from roselink.gateway.engine import Engine
from roselink.gateway.exceptions import ConfigError
from roselink.gateway.server import Server
from roselink.http.descriptors import Descriptors
from roselink.http.host_pool import HostPool
from roselink.http.logs import configure_logging

if TYPE_CHECKING:
    from collections.abc import Mapping

log = logging.getLogger("roselink.gateway")

# Interval between two checks of all connections for time-outs.
SWEEP_INTERVAL_S = 0.25
# How long connections are accepted after SIGTERM: the load balancer in front sends new ones for up
# to 0.4 s more.
ACCEPT_AFTER_SIGTERM_S = 0.55
# Time between ACCEPT_AFTER_SIGTERM_S and the earliest SIGKILL; the longest deadline of a route
# applies instead if it is shorter.
KILL_AFTER_ACCEPT_S = 3.0
# Time for the last responses to be sent.
FLUSH_S = 0.1
# Interval between two checks whether every connection has closed.
DRAIN_POLL_INTERVAL_S = 0.02


class Gateway:
    """Owns the components of one gateway and their lifecycle."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Creates the components without opening the listener."""
        self.config = config
        self.loop = loop
        descriptors = Descriptors(config.sockets)
        self.upstream = HostPool(loop, descriptors, config.connect_timeout_s, config.idle_s)
        self.engine = Engine(loop, Balancer(config.settings, config.seed), self.upstream)
        self.discovery = Discovery(config, self.engine.update)
        self.server = Server(loop, config, self.engine, descriptors, self.upstream.drop_oldest_idle)
        self._reserved_descriptor = ReservedDescriptor()
        self.port = 0
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Opens the listener and serves from the configuration's host list at once.

        Raises:
            ConfigError: The configured host list is malformed, or the address cannot be bound.
        """
        self.discovery.start_from(self.config.known)
        host, port = self.config.listen
        try:
            self.port = await self.server.listen(host, port)
        except OSError as error:
            raise ConfigError("GW_LISTEN", f"cannot listen on {host}:{port}: {error}") from None
        self.discovery.start_paced()
        self._sweeper = self.loop.create_task(self._sweep())
        log.info("%s listens on %s:%d", self.config.name, self.config.listen[0], self.port)

    def reload(self, environment: Mapping[str, str]) -> None:
        """Applies the one setting that can change at run time: the address of discovery.

        The host list, connections and open requests are kept, also while draining. An invalid file
        changes nothing.
        """
        try:
            with self._reserved_descriptor.released():
                config = reload(environment)
        except ConfigError as error:
            log.error("reload failed, old configuration stands: %s", error)  # noqa: TRY400 - one line
            return
        if ignored := changed_fields(self.config, config):
            log.warning("changed fields that apply with a restart only: %s", ", ".join(ignored))
        if config.discovery != self.discovery.address:
            log.info("reload changed the discovery address to %s:%d", *config.discovery)
            self.discovery.switch_to(config.discovery)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self.server.sweep()
                self.upstream.sweep()
            except Exception:  # an error on one connection must not stop the time-outs of the rest
                log.exception("time-out check of connections failed")

    async def drain(self) -> None:
        """Responds to all open requests, and to those the load balancer in front still sends.

        Responses carry `Connection: close` from the start. The listener and idle connections stay
        open for `ACCEPT_AFTER_SIGTERM_S`: closing them earlier would lose requests in transit.
        """
        longest_s = (
            max((route.deadline_us for route in self.config.settings.routes), default=0) / 1e6
        )
        self.server.drain(
            ACCEPT_AFTER_SIGTERM_S, ACCEPT_AFTER_SIGTERM_S + min(longest_s, KILL_AFTER_ACCEPT_S)
        )
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self.server.stop_accepting()
        requests_end_at = self.loop.time() + longest_s
        await self._close_connections(requests_end_at)
        self.server.end_requests()
        await self._close_connections(requests_end_at + FLUSH_S)

    async def _close_connections(self, until: float) -> None:
        """Closes each connection once it is idle, until all are closed or the time is `until`."""
        while self.server.connections and self.loop.time() < until:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Closes the listener and stops the discovery watch and the time-out checks."""
        self.server.stop_listening()
        self.discovery.stop()
        if self._sweeper is not None:
            self._sweeper.cancel()


async def serve(config: Config) -> None:
    """Runs one gateway until SIGTERM or SIGINT, then drains it.

    Raises:
        ConfigError: The gateway cannot start with this configuration.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, loop)
    await gateway.start()
    loop.add_signal_handler(signal.SIGHUP, gateway.reload, os.environ)
    gc.collect()
    # Objects created at start live until exit: excluding them makes each collection cheaper.
    gc.freeze()
    await stop.wait()
    log.info("draining")
    await gateway.drain()
    gateway.stop()
    log.info("drained")


def main() -> int:
    """Runs the program; the exit status is 2 for an invalid configuration."""
    configure_logging()
    # Before the gateway handles SIGHUP, the signal's default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"roselink.gateway: {error} [{error.code}]", file=sys.stderr)
        return 2
    try:
        uvloop.run(serve(config))
    except ConfigError as error:
        print(f"roselink.gateway: {error} [{error.code}]", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
