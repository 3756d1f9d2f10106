"""Start, wiring, signals, reload and exit of one gateway: `python -m roselink.gateway`."""

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

# Between two sweeps of the connections for time-outs.
SWEEP_INTERVAL_S = 0.25
# Connections are accepted so long after SIGTERM: the front sends them for up to 0.4 s more.
ACCEPT_AFTER_SIGTERM_S = 0.55
# SIGKILL may come so long after ACCEPT_AFTER_SIGTERM_S, or a longest deadline that is shorter.
KILL_AFTER_ACCEPT_S = 3.0
# For the last responses to leave.
FLUSH_S = 0.1
# Between two looks whether every connection has ended.
DRAIN_POLL_INTERVAL_S = 0.02


class Gateway:
    """The components of one gateway, wired."""

    def __init__(self, config: Config, loop: asyncio.AbstractEventLoop) -> None:
        """Builds the components; nothing listens yet."""
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
        """Listens, and serves by the known list at once.

        Raises:
            ConfigError: The known list is malformed, or the address cannot be listened on.
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
        """Takes over what a new file changes: the address of discovery.

        List, connections and open requests stay as they are, also while draining; a file that
        cannot work changes nothing.
        """
        try:
            with self._reserved_descriptor.released():
                config = reload(environment)
        except ConfigError as error:
            log.error("the old configuration stands: %s", error)  # noqa: TRY400 - one plain line
            return
        if ignored := changed_fields(self.config, config):
            log.warning("these fields change with a restart only: %s", ", ".join(ignored))
        if config.discovery != self.discovery.address:
            log.info("discovery is now at %s:%d", *config.discovery)
            self.discovery.switch_to(config.discovery)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            try:
                self.server.sweep()
                self.upstream.sweep()
            except Exception:  # one connection's fault must not end the care for all others
                log.exception("a sweep failed")

    async def drain(self) -> None:
        """Responds to what has come, and to what comes while the front may still send.

        Responses say `Connection: close` at once; the listener and idle connections stay until
        then, for ending them first would lose what crosses the close.
        """
        longest_s = (
            max((route.deadline_us for route in self.config.settings.routes), default=0) / 1e6
        )
        self.server.drain(
            ACCEPT_AFTER_SIGTERM_S, ACCEPT_AFTER_SIGTERM_S + min(longest_s, KILL_AFTER_ACCEPT_S)
        )
        await asyncio.sleep(ACCEPT_AFTER_SIGTERM_S)
        await self.server.stop_accepting()
        end = self.loop.time() + longest_s + FLUSH_S
        while self.server.connections and self.loop.time() < end:
            self.server.close_idle()
            await asyncio.sleep(DRAIN_POLL_INTERVAL_S)

    def stop(self) -> None:
        """Ends listener, watch and sweeps."""
        self.server.stop_listening()
        self.discovery.stop()
        if self._sweeper is not None:
            self._sweeper.cancel()


async def serve(config: Config) -> None:
    """Runs one gateway until SIGTERM or SIGINT, then responds to what it has taken.

    Raises:
        ConfigError: It cannot start.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    gateway = Gateway(config, loop)
    await gateway.start()
    loop.add_signal_handler(signal.SIGHUP, gateway.reload, os.environ)
    gc.collect()
    # What is here at the start stays; collections need not walk it each time.
    gc.freeze()
    await stop.wait()
    log.info("draining")
    await gateway.drain()
    gateway.stop()
    log.info("drained")


def main() -> int:
    """Runs the program; its exit status is 2 where the configuration cannot work."""
    configure_logging()
    # Until there is a gateway that can reload, SIGHUP would end the process.
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
