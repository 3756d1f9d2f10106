"""One core process: the chain, the pull service, the host list's reader and the HTTP interface.

The chain starts before the HTTP libraries are loaded: their imports take most of a start's
processor time, and gateways have to wait until the core has agreed on a view. The libraries are
therefore imported in short steps while the chain runs (`stepwise_imports`). The platform's client
comes first, as gateways need hosts before the operator's requests matter. Twisted's reactor must be
installed on the event loop before anything else imports it.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import traceback
from typing import TYPE_CHECKING

from roselink.controller.startup_log import log
from roselink.exceptions import code_of
from roselink.model.settings import (
    DEFAULT_PATH,
    ENVIRONMENT_VARIABLE,
    ProcessSettings,
    SettingsError,
    load_settings,
)
from roselink.protocol.peer_pool import PeerPool
from roselink.protocol.peer_server import PeerServer

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from roselink.controller.api import AdminApi
    from roselink.controller.chain_interface import Address, RunnableChain
    from roselink.controller.host_list_client import HostListClient
    from roselink.controller.pull_driver import PullDriver
    from roselink.controller.twisted_reactor import ListeningPort, Reactor
    from roselink.protocol.peer_connection import ReplySender

# Fraction of `grace_s` for the operator's requests in flight after SIGTERM. A larger one lets more
# of them complete; a smaller one ends the process sooner.
STOP_GRACE_FRACTION = 0.25
# Upper bound of the time for the requests in flight, in seconds.
MAX_STOP_S = 1.5
# Fraction of `grace_s` for leaving the chain afterwards. Most of it is used only while the peers
# need this process for a majority.
LEAVE_GRACE_FRACTION = 0.5
# Fraction of `grace_s` for the last responses to reach the kernel.
FLUSH_GRACE_FRACTION = 0.1
STOP_CHECK_INTERVAL_S = 0.05
MAX_LISTEN_ATTEMPTS = 50
LISTEN_RETRY_INTERVAL_S = 0.1


def run(settings: ProcessSettings) -> None:
    """Run a core process until SIGTERM or SIGINT, including its orderly shutdown."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    process = CoreProcess(settings, loop, _make_chain)
    loop.call_soon(process.begin)
    loop.run_forever()
    if process.failure is not None:
        raise process.failure


def _make_chain(settings: ProcessSettings, pool: PeerPool) -> RunnableChain:
    from roselink.controller.chain_driver import ChainDriver

    return ChainDriver(settings, pool, asyncio.get_running_loop())


class CoreProcess:
    """The components of one process, their start and their shutdown.

    Attributes:
        failure: the exception that ends the process; None after an orderly shutdown.
    """

    def __init__(
        self,
        settings: ProcessSettings,
        loop: asyncio.AbstractEventLoop,
        make_chain: Callable[[ProcessSettings, PeerPool], RunnableChain],
    ) -> None:
        """Make the process; `begin` starts it on the running loop.

        Args:
            settings: the process's settings.
            loop: the event loop that the process runs on.
            make_chain: creates the driver of the replicated chain.
        """
        self._settings = settings
        self._loop = loop
        self._make_chain = make_chain
        self._stopping = False
        self._halted = False
        self._starting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None
        self._chain: RunnableChain | None = None
        self._pull_driver: PullDriver | None = None
        self._api: AdminApi | None = None
        self._host_list_client: HostListClient | None = None
        self._admin_port: ListeningPort | None = None
        self._reactor: Reactor | None = None
        self._pool = PeerPool(self._handle)
        self._server = PeerServer(self._handle)

    def begin(self) -> None:
        """Install the signal handlers and start all components."""
        self._loop.set_exception_handler(self._on_callback_error)
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGINT, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._starting = self._start_task(self._start())

    def stop(self) -> None:
        """Shut all components down in order, then stop the event loop."""
        if not self._stopping:
            self._stopping = True
            self._start_task(self._stop())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failure = task.exception()
        log.error("core_failed", error=repr(self.failure), code=code_of(self.failure))
        self._halt()

    def _on_callback_error(self, _: asyncio.AbstractEventLoop, context: dict[str, object]) -> None:
        """End the process if an invariant is broken; only log any other exception."""
        from roselink.coordination.exceptions import BrokenInvariantError

        error = context.get("exception")
        if isinstance(error, BrokenInvariantError):
            self.failure = error
            log.error("core_failed", error=repr(error), code=code_of(error))
            self._halt()
            return
        trace = traceback.format_exception(error) if isinstance(error, BaseException) else []
        log.error("callback_failed", message=context["message"], exception="".join(trace))

    def _halt(self) -> None:
        if not self._halted:
            self._halted = True
            self._loop.stop()

    async def _start(self) -> None:
        from roselink.controller.pull_driver import PullDriver

        settings = self._settings
        log.set_node_name(settings.node_name)
        self._chain = chain = self._make_chain(settings, self._pool)
        self._pull_driver = PullDriver(chain, self._pool)
        await self._listen(settings.ip, settings.peer_port)
        chain.start()
        self._pull_driver.start()
        await self._start_http(chain, self._pull_driver)
        gc.collect()
        gc.freeze()
        log.info("core_started", peer_port=settings.peer_port, epoch=chain.epoch)

    async def _start_http(self, chain: RunnableChain, pull_driver: PullDriver) -> None:
        """Load the HTTP libraries while the chain runs, and start what needs them."""
        from roselink.controller.stepwise_imports import (
            CLIENT_MODULES,
            REACTOR_MODULES,
            SERVER_MODULES,
            StepwiseImporter,
        )
        from roselink.controller.twisted_reactor import install_reactor

        imports = StepwiseImporter(lambda: chain.forming, self._loop.time)
        await imports.load(REACTOR_MODULES)
        reactor = self._reactor = install_reactor(self._loop)
        await imports.load(CLIENT_MODULES)
        self._start_host_list_client(chain, pull_driver, reactor)
        await imports.load(SERVER_MODULES)
        self._start_api(chain, pull_driver, reactor)

    def _start_host_list_client(
        self, chain: RunnableChain, pull_driver: PullDriver, reactor: Reactor
    ) -> None:
        """Log through structlog, and read the platform's list while this member is the tail."""
        import structlog

        from roselink.controller.host_list_client import HostListClient
        from roselink.controller.logging_setup import configure_logging

        configure_logging(self._settings.node_name)
        log.use_logger(structlog.get_logger("roselink.core"))
        reactor.startRunning(installSignalHandlers=False)
        if self._settings.platform is not None:
            self._host_list_client = HostListClient(
                reactor, self._settings.platform, pull_driver.hosts_listed
            )
            chain.on_view_change(self._update_reader_role)
            self._update_reader_role()

    def _start_api(self, chain: RunnableChain, pull_driver: PullDriver, reactor: Reactor) -> None:
        """Serve the operator's HTTP interface."""
        from roselink.controller.api import AdminApi

        self._api = AdminApi(chain, pull_driver, reactor)
        admin = self._settings.bind.get("admin")
        if admin is not None:
            self._admin_port = reactor.listenTCP(
                admin[1], self._api.site(), backlog=128, interface=admin[0]
            )

    async def _listen(self, host: str, port: int) -> None:
        """Listen on the peer port; retry while an earlier process still has it."""
        for attempt in range(1, MAX_LISTEN_ATTEMPTS + 1):
            try:
                await self._server.listen(host, port)
            except OSError:
                if attempt == MAX_LISTEN_ATTEMPTS:
                    raise
                if attempt == 1:
                    log.warning("port_taken", port=port)
                await asyncio.sleep(LISTEN_RETRY_INTERVAL_S)
            else:
                return

    def _update_reader_role(self) -> None:
        """Read the host list only while this member is the tail of the active view.

        A tail that is stopping goes on: no other member reads the list before it has left.
        """
        if self._host_list_client is not None and self._chain is not None:
            self._host_list_client.set_role(self._chain.epoch if self._chain.is_tail else None)

    def _handle(self, peer: Address, message: object, reply: ReplySender) -> None:
        chain = self._chain
        pull_driver = self._pull_driver
        if chain is None or chain.handle(peer, message, reply):
            return
        if pull_driver is not None and not pull_driver.handle(peer, message, reply):
            log.warning("record_unknown", record=type(message).__name__, peer=peer)

    def _reload(self) -> None:
        path = os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH)
        try:
            settings = load_settings(path)
        except SettingsError as error:
            log.error("settings_rejected", faults=error.faults)
            return
        if self._chain is not None and settings.seeds != self._settings.seeds:
            self._chain.set_seeds(settings)
        self._settings = settings
        log.info("settings_read", seeds=len(settings.seeds))

    async def _flush_responses(self, timeout_s: float) -> None:
        """Wait until the kernel has all responses: the end of the process would cut them off."""
        deadline = self._loop.time() + timeout_s
        while (
            self._reactor is not None
            and self._reactor.getWriters()
            and self._loop.time() < deadline
        ):
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)

    async def _stop(self) -> None:
        log.info("core_stopping")
        if self._starting is not None:
            self._starting.cancel()
        if self._admin_port is not None:
            self._admin_port.stopListening()
        if self._api is not None:
            self._api.stop()
        grace_s = self._settings.thresholds.grace_s
        deadline = self._loop.time() + min(MAX_STOP_S, grace_s * STOP_GRACE_FRACTION)
        while self._api is not None and self._api.in_flight and self._loop.time() < deadline:
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        if self._chain is not None:
            try:
                async with asyncio.timeout(grace_s * LEAVE_GRACE_FRACTION):
                    await self._chain.stop()
            except TimeoutError:
                log.warning("chain_leave_timed_out")
        if self._host_list_client is not None:
            self._host_list_client.close()
        await self._flush_responses(grace_s * FLUSH_GRACE_FRACTION)
        self._server.close()
        self._pool.close()
        log.info("core_stopped")
        self._halt()
