"""One core process: the chain, the pull service, the list reader and the operator's interface,
assembled.

The chain takes part before the HTTP libraries are loaded: their imports are most of a start's
processor time, and while the core waits for a view the gateways wait for the core. So they are
imported in short steps beside the running chain, with a turn of the loop after each, and not at all
while the members are agreeing on a view: each of a view's messages would wait for a step at every
member on its way. The platform's client comes first, as gateways need hosts before the operator is
heard. The order matters for one more reason: Twisted's reactor must be installed on the event loop
before anything else imports it.
"""

from __future__ import annotations

import asyncio
import gc
import importlib
import os
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from roselink.controller.chain_interface import Address, ReplicatedChain
from roselink.controller.startup_log import log
from roselink.model.settings import (
    DEFAULT_PATH,
    ENVIRONMENT_VARIABLE,
    ProcessSettings,
    SettingsError,
    load_settings,
)
from roselink.protocol.peers import PeerPool, PeerServer

if TYPE_CHECKING:
    from roselink.controller.api import AdminApi
    from roselink.controller.host_list_client import HostListClient
    from roselink.controller.pull_driver import PullDriver

STOP_SHARE = 0.25  # of `grace_s`: how long orders under way may take to end after SIGTERM
MOST_STOP_S = 1.5
STOP_STEP_S = 0.05
REACTOR_MODULES = (  # each of these imports takes a hundredth of a second or two at most
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
CLIENT_MODULES = (  # the same, behind the reactor: the platform's client
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
SERVER_MODULES = (  # and the operator's interface
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
FORMING_STEP_S = 0.02
FORMING_MOST_S = 1.5  # so long in all imports wait for the members to agree on a view
LISTEN_TRIES = 50
LISTEN_PAUSE_S = 0.1

Reply = Callable[[Any], None]


class RunnableChain(ReplicatedChain, Protocol):
    """The chain's driver, with what only the assembly needs."""

    def start(self) -> None:
        """Begin to read the disk and to join the core."""

    async def stop(self) -> None:
        """Leave in order; what is acknowledged is on disk."""

    def handle(self, peer: Address, message: object, reply: Reply) -> bool:
        """Take a record of the chain; False for any other."""

    def seeds_changed(self, settings: ProcessSettings) -> None:
        """The settings name other seeds: members that may be asked for the core's state."""

    @property
    def forming(self) -> bool:
        """Whether enough members are there to agree on a view, and none is active here yet."""


def run(settings: ProcessSettings) -> None:
    """Run a core process until SIGTERM. Returns when it has ended in order."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    process = CoreProcess(settings, loop, _make_node)
    loop.call_soon(process.begin)
    loop.run_forever()
    if process.failure is not None:
        raise process.failure


def load_reactor() -> None:
    """Import what `install_reactor` needs. No TLS is spoken: its libraries stay unloaded."""
    sys.modules.setdefault("OpenSSL", None)  # type: ignore[arg-type]
    importlib.import_module("twisted.internet.asyncioreactor")


def install_reactor(loop: asyncio.AbstractEventLoop) -> Any:
    """Put Twisted on the event loop and return its reactor."""
    load_reactor()
    from twisted.internet import asyncioreactor

    asyncioreactor.install(loop)  # type: ignore[no-untyped-call]
    from twisted.internet import reactor

    return reactor


class StepwiseImporter:
    """Imports modules in order; between two of them the loop serves what came, and a view may be
    agreed.
    """

    def __init__(self, forming: Callable[[], bool], clock: Callable[[], float]) -> None:
        self._forming, self._clock = forming, clock
        self._patience_s = FORMING_MOST_S

    async def load(self, names: tuple[str, ...]) -> None:
        """Import these modules."""
        for name in names:
            await asyncio.sleep(0)
            await self._formed()
            importlib.import_module(name)

    async def _formed(self) -> None:
        """Wait while a view is being agreed, as long as there is patience left."""
        while self._patience_s > 0 and self._forming():
            began = self._clock()
            await asyncio.sleep(FORMING_STEP_S)
            self._patience_s -= self._clock() - began


def _make_node(settings: ProcessSettings, pool: PeerPool) -> RunnableChain:
    node = importlib.import_module("roselink.controller.chain_driver")
    made: RunnableChain = node.ChainDriver(settings, pool, asyncio.get_running_loop())
    return made


class CoreProcess:
    """The parts of one process, and their start and end."""

    def __init__(
        self,
        settings: ProcessSettings,
        loop: asyncio.AbstractEventLoop,
        make_node: Callable[[ProcessSettings, PeerPool], RunnableChain],
    ) -> None:
        self._settings, self._loop, self._make_node = settings, loop, make_node
        self._stopping = False
        self._halted = False
        self._starting: asyncio.Task[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.failure: BaseException | None = None
        self._node: RunnableChain | None = None
        self._pulls: PullDriver | None = None
        self._api: AdminApi | None = None
        self._client: HostListClient | None = None
        self._listening: Any = None
        self._pool = PeerPool(self._handle)
        self._server = PeerServer(self._handle)

    def begin(self) -> None:
        """Start all parts; the signals are taken from here on."""
        self._loop.add_signal_handler(signal.SIGTERM, self.stop)
        self._loop.add_signal_handler(signal.SIGINT, self.stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._starting = self._spawn(self._start())

    def stop(self) -> None:
        """End in order, soon."""
        if not self._stopping:
            self._stopping = True
            self._spawn(self._stop())

    def _spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        self.failure = task.exception()
        log.error("core_failed", error=repr(self.failure))
        self._halt()

    def _halt(self) -> None:
        if not self._halted:
            self._halted = True
            self._loop.stop()

    async def _start(self) -> None:
        settings = self._settings
        log.name(settings.node_name)
        self._node = node = self._make_node(settings, self._pool)
        self._pulls = importlib.import_module("roselink.controller.pull_driver").PullDriver(
            node, self._pool
        )
        await self._listen(settings.ip, settings.peer_port)
        node.start()
        self._pulls.start()
        await self._start_http(node, self._pulls)
        gc.collect()
        gc.freeze()
        log.info("core_started", peer_port=settings.peer_port, epoch=node.epoch)

    async def _start_http(self, node: RunnableChain, pulls: PullDriver) -> None:
        """Load the HTTP libraries beside the chain; read the platform, then listen to the
        operator.
        """
        imports = StepwiseImporter(lambda: node.forming, self._loop.time)
        await imports.load(REACTOR_MODULES)
        reactor = install_reactor(self._loop)
        await imports.load(CLIENT_MODULES)
        self._start_client(node, pulls, reactor)
        await imports.load(SERVER_MODULES)
        self._start_api(node, pulls, reactor)

    def _start_client(self, node: RunnableChain, pulls: PullDriver, reactor: Any) -> None:
        """Log as the libraries do, and read the platform's list when this member is the tail."""
        import structlog

        from roselink.controller.host_list_client import HostListClient
        from roselink.controller.logging_setup import configure_logging

        configure_logging(self._settings.node_name)
        log.begin(structlog.get_logger("roselink.core"))
        reactor.startRunning(installSignalHandlers=False)
        if self._settings.platform is not None:
            self._client = HostListClient(reactor, self._settings.platform, pulls.hosts_listed)
            node.on_view(self._role_changed)
            self._role_changed()

    def _start_api(self, node: RunnableChain, pulls: PullDriver, reactor: Any) -> None:
        """Listen to the operator."""
        from roselink.controller.api import AdminApi

        self._api = AdminApi(node, pulls, reactor)
        admin = self._settings.bind.get("admin")
        if admin is not None:
            self._listening = reactor.listenTCP(
                admin[1], self._api.site(), backlog=128, interface=admin[0]
            )

    async def _listen(self, host: str, port: int) -> None:
        """Take the port for peers; a former process may hold it for a moment."""
        for left in reversed(range(LISTEN_TRIES)):
            try:
                await self._server.listen(host, port)
                return
            except OSError:
                if not left:
                    raise
                if left == LISTEN_TRIES - 1:
                    log.warning("port_taken", port=port)
                await asyncio.sleep(LISTEN_PAUSE_S)

    def _role_changed(self) -> None:
        """The tail of the active view reads the platform's list."""
        if self._client is not None and self._node is not None and not self._stopping:
            self._client.hold(self._node.epoch if self._node.is_tail else None)

    def _handle(self, peer: Address, message: Any, reply: Reply) -> None:
        node, pulls = self._node, self._pulls
        if node is None or node.handle(peer, message, reply):
            return
        if pulls is not None and not pulls.handle(peer, message, reply):
            log.warning("record_unknown", record=type(message).__name__, peer=peer)

    def _reload(self) -> None:
        path = os.environ.get(ENVIRONMENT_VARIABLE, DEFAULT_PATH)
        try:
            settings = load_settings(path)
        except SettingsError as error:
            log.error("settings_rejected", faults=error.faults)
            return
        if self._node is not None and settings.seeds != self._settings.seeds:
            self._node.seeds_changed(settings)
        self._settings = settings
        log.info("settings_read", seeds=len(settings.seeds))

    async def _stop(self) -> None:
        log.info("core_stopping")
        if self._starting is not None:
            self._starting.cancel()
        if self._listening is not None:
            self._listening.stopListening()
        if self._api is not None:
            self._api.stop()
        if self._client is not None:
            self._client.close()
        bound = min(MOST_STOP_S, self._settings.thresholds.grace_s * STOP_SHARE)
        ends = self._loop.time() + bound
        while self._api is not None and self._api.under_way and self._loop.time() < ends:
            await asyncio.sleep(STOP_STEP_S)
        if self._node is not None:
            try:
                async with asyncio.timeout(bound):
                    await self._node.stop()
            except TimeoutError:
                log.warning("chain_leave_timed_out")
        self._server.close()
        self._pool.close()
        log.info("core_stopped")
        self._halt()
