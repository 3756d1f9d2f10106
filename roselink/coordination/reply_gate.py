"""Delays an acceptor's replies until the state on which they depend is durable.

No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Persist, Send, Store
from roselink.coordination.exceptions import DriverContractError
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from roselink.coordination.acceptor import Acceptor
    from roselink.protocol.chain import Accepted, Promise, Refusal


@dataclass(slots=True)
class ReplyGate:
    """Buffers each reply until the acceptor state of its version is durable; one save at a time."""

    acceptor: Acceptor
    emit: Emit
    _buffered: list[tuple[int, Send]] = field(default_factory=list)
    _saving_version: int | None = None
    _durable_version: int = 0

    def restored(self) -> None:
        """Record that the acceptor state was restored from the disk, and is durable."""
        self._durable_version = 1
        self.acceptor.version = self._durable_version

    def reply(self, to: str, reply: Promise | Accepted | Refusal | None) -> None:
        """Buffer the acceptor's reply, if there is one."""
        if reply is not None:
            self._buffered.append((self.acceptor.version, Send(to, reply)))

    def request_save(self) -> None:
        """Have the acceptor state saved again although it has not changed."""
        self.acceptor.version += 1

    def save(self) -> None:
        """Save the acceptor state if it has changed and no save is in flight."""
        if self._saving_version is None and self._durable_version < self.acceptor.version:
            self._saving_version = self.acceptor.version
            self.emit(Persist(Store.ACCEPTOR, encode(self.acceptor.to_record())))

    def saved(self) -> None:
        """Handle the completion of the save in flight.

        Raises:
            DriverContractError: no save was in flight.
        """
        if self._saving_version is None:
            raise DriverContractError("saved", "a save of the acceptor state is in flight")
        self._durable_version = self._saving_version
        self._saving_version = None
        self.release()

    def save_failed(self) -> None:
        """Handle the failure of the save in flight."""
        self._saving_version = None

    def release(self) -> None:
        """Send the replies whose version is durable."""
        durable = self._durable_version
        released = [send for version, send in self._buffered if version <= durable]
        self._buffered = [entry for entry in self._buffered if entry[0] > durable]
        for send in released:
            self.emit(send)
