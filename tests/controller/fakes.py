"""A fake replicated chain that keeps each call until the test completes it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from roselink.controller.chain_interface import DiskStatus

if TYPE_CHECKING:
    from collections.abc import Callable

    from roselink.controller.chain_interface import (
        Address,
        ConfigurationChange,
        Confirmation,
        SubmitOutcome,
    )


class FakeChain:
    """Keeps each proposed change and each confirmed read with its callback."""

    def __init__(self) -> None:
        self.epoch = 3
        self.is_tail = True
        self.tail: Address | None = ("10.0.0.3", 7500)
        self.cores: tuple[str, ...] = ("10.0.0.1:7500", "10.0.0.2:7500", "10.0.0.3:7500")
        self.submits: asyncio.Queue[tuple[ConfigurationChange, Callable[[SubmitOutcome], None]]] = (
            asyncio.Queue()
        )
        self.reads: asyncio.Queue[Callable[[Confirmation | None], None]] = asyncio.Queue()
        self.watchers: list[Callable[[], None]] = []

    def core_addresses(self) -> tuple[str, ...]:
        return self.cores

    def chain_addresses(self) -> tuple[str, ...]:
        return self.core_addresses()

    def submit(self, change: ConfigurationChange, done: Callable[[SubmitOutcome], None]) -> None:
        self.submits.put_nowait((change, done))

    def confirm(self, done: Callable[[Confirmation | None], None]) -> None:
        self.reads.put_nowait(done)

    def disk_status(self) -> DiskStatus:
        return DiskStatus(healthy=True, checks=3, damaged=1, checked_s=2.0)

    def on_view_change(self, callback: Callable[[], None]) -> None:
        self.watchers.append(callback)

    def change_view(self, epoch: int, tail: Address | None, *, is_tail: bool) -> None:
        self.epoch = epoch
        self.is_tail = is_tail
        self.tail = tail
        for callback in self.watchers:
            callback()
