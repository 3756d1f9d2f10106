"""A voter's answers and its disk: no answer leaves before the disk has what it says. No I/O, no
clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.coordination.effects import Emit, Persist, Send, Store
from roselink.protocol.records import encode

if TYPE_CHECKING:
    from roselink.coordination.votes import Acceptor


@dataclass(slots=True)
class ReplyGate:
    """Holds each answer until the votes of its version are durable; one save at a time."""

    voting: Acceptor
    emit: Emit
    _held: list[tuple[int, Send]] = field(default_factory=list)
    _saving: int | None = None
    _durable: int = 0

    def restored(self) -> None:
        """The votes are as they were on the disk."""
        self.voting.version = self._durable = 1

    def answer(self, to: str, answer: object) -> None:
        """Take a voter's answer."""
        if answer is not None:
            self._held.append((self.voting.version, Send(to, answer)))

    def drop(self) -> None:
        """Forget the answers that wait: the view they are about is decided."""
        self._held = []

    def touch(self) -> None:
        """Have the votes saved again though nothing changed, to try the disk."""
        self.voting.version += 1

    def save(self) -> None:
        """Save the votes if they changed and no save is under way."""
        if self._saving is None and self._durable < self.voting.version:
            self._saving = self.voting.version
            self.emit(Persist(Store.ACCEPTOR, encode(self.voting.record())))

    def saved(self) -> None:
        """The save that was under way is durable."""
        if self._saving is None:
            raise AssertionError("no votes were being saved")
        self._durable, self._saving = self._saving, None
        self.release()

    def save_failed(self) -> None:
        """The disk has refused."""
        self._saving = None

    def release(self) -> None:
        """Send the answers that the disk has."""
        due = [send for version, send in self._held if version <= self._durable]
        self._held = [held for held in self._held if held[0] > self._durable]
        for send in due:
            self.emit(send)
