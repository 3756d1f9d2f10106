"""A core process with a single-member chain in memory, started by `test_app` as a program."""

from __future__ import annotations

import asyncio
import sys
import types
from typing import TYPE_CHECKING, Any

from roselink.controller.app import run
from roselink.controller.chain_interface import (
    Address,
    ChangeCommitted,
    ConfigurationChange,
    Confirmation,
    Conflict,
    DiskStatus,
    SubmitOutcome,
)
from roselink.coordination.exceptions import DriverContractError
from roselink.model.settings import ProcessSettings, load_settings

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.protocol.peer_pool import PeerPool

# A multiple of the interval at which the host list is read, in seconds.
SLOW_LEAVE_S = 1.5
# Less than the time after which a read ends unconfirmed.
SLOW_CONFIRM_S = 0.5
START_BEHAVIOUR = sys.argv[2] if len(sys.argv) > 2 else "succeeds"


class SingleMemberChain:
    """A chain of one member, in memory."""

    def __init__(
        self, settings: ProcessSettings, pool: PeerPool, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.loop = loop
        self.epoch, self.is_tail, self.forming = 1, True, False
        self.tail: Address | None = (settings.ip, settings.peer_port)
        self.committed: dict[bytes, int] = {}
        self.newest = Confirmation(1, 0, None, 0)
        self.seeds = settings.seed_peers()

    def start(self) -> None:
        if START_BEHAVIOUR == "fails":
            raise RuntimeError("no disk")
        if START_BEHAVIOUR == "breaks":
            self.loop.call_soon(self.fail, RuntimeError("one callback"))
            self.loop.call_later(0.01, self.fail, DriverContractError("tick", "it is begun"))

    @staticmethod
    def fail(error: Exception) -> None:
        raise error

    async def stop(self) -> None:
        if START_BEHAVIOUR == "leaves slowly":
            await asyncio.sleep(SLOW_LEAVE_S)

    def handle(self, peer: Address, message: object, reply: Callable[[Any], None]) -> bool:
        return False

    def set_seeds(self, settings: ProcessSettings) -> None:
        self.seeds = settings.seed_peers()

    def core_addresses(self) -> tuple[str, ...]:
        return tuple(f"{host}:{port}" for host, port in self.seeds)

    def chain_addresses(self) -> tuple[str, ...]:
        return self.core_addresses()

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        if change.digest in self.committed:
            done(ChangeCommitted(self.committed[change.digest]))
        elif change.base != self.newest.generation:
            done(Conflict(self.newest.generation))
        else:
            sequence = self.committed[change.digest] = self.newest.sequence + 1
            self.newest = Confirmation(1, sequence, change.document, change.generation)
            done(ChangeCommitted(sequence))

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        if START_BEHAVIOUR == "confirms slowly":
            self.loop.call_later(SLOW_CONFIRM_S, done, self.newest)
        else:
            done(self.newest)

    def disk_status(self) -> DiskStatus:
        return DiskStatus(healthy=True, checks=3, damaged=1, checked_s=2.0)

    def on_view_change(self, callback: Callable[[], None]) -> None:
        pass


def main() -> None:
    fake_module = types.ModuleType("roselink.controller.chain_driver")
    fake_module.ChainDriver = SingleMemberChain  # type: ignore[attr-defined]
    sys.modules["roselink.controller.chain_driver"] = fake_module
    run(load_settings(sys.argv[1]))


if __name__ == "__main__":
    main()
