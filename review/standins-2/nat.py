"""A link between one machine and all others that a script can cut.

The machine and the others know each other by addresses of a second network, on which this link
listens. It passes each record on and translates the addresses in it, as a translating router does.
While it is cut it passes nothing on, silently; what it holds is passed on after the cut, as TCP
would send it again.
"""

# ruff: noqa: F401

from __future__ import annotations

import asyncio
import dataclasses
from typing import Any

import roselink.protocol.budgets
import roselink.protocol.gossip
import roselink.protocol.payoffs
import roselink.protocol.pull
from roselink.protocol.framing import FrameDecoder, encode_frame


class Link:
    """The link of one machine to all others.

    Args:
        own: the machine's address.
        others: the addresses of all other machines.
        port: the port of the protocol between machines.
        near: the first three numbers of the machines' addresses.
        far: those of the second network.
    """

    def __init__(self, own: str, others: list[str], port: int, near: str, far: str) -> None:
        """Make the link; nothing listens before `start`."""
        self._own = own
        self._others = others
        self._port = port
        self._near = near
        self._far = far
        here = f"{own}:{port}"
        here_far = self._translate(here)
        self._inward = {f"{ip}:{port}": self._translate(f"{ip}:{port}") for ip in others}
        self._inward[here_far] = here
        self._outward = {far_side: near_side for near_side, far_side in self._inward.items()}
        self._whole = asyncio.Event()
        self._whole.set()
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    def _translate(self, address: str) -> str:
        return self._far + address.removeprefix(self._near)

    async def start(self) -> None:
        """Listen on the addresses of the second network."""
        for ip in (self._own, *self._others):
            inward = ip == self._own

            async def accept(
                reader: asyncio.StreamReader,
                writer: asyncio.StreamWriter,
                ip: str = ip,
                inward: bool = inward,  # noqa: FBT001
            ) -> None:
                await self._connect(ip, reader, writer, inward=inward)

            self._servers.append(
                await asyncio.start_server(accept, self._translate(ip), self._port)
            )

    def stop(self) -> None:
        """Close everything."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self) -> None:
        """Pass nothing on."""
        self._whole.clear()

    def heal(self) -> None:
        """Pass on again."""
        self._whole.set()

    async def _connect(
        self,
        ip: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        inward: bool,
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self._whole.wait()
            far_reader, far_writer = await asyncio.open_connection(ip, self._port)
            there = self._inward if inward else self._outward
            back = self._outward if inward else self._inward
            passing = [
                asyncio.ensure_future(self._pass(reader, far_writer, there)),
                asyncio.ensure_future(self._pass(far_reader, writer, back)),
            ]
            self._tasks.update(passing)
            await asyncio.wait(passing, return_when=asyncio.FIRST_COMPLETED)
            for each in passing:
                each.cancel()
            far_writer.transport.abort()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, names: dict[str, str]
    ) -> None:
        decoder = FrameDecoder()
        while data := await reader.read(65536):
            for kind, number, message in decoder.feed(data):
                await self._whole.wait()
                writer.write(encode_frame(kind, number, _renamed(message, names)))
            await writer.drain()


def _renamed(value: Any, names: dict[str, str]) -> Any:
    if isinstance(value, str):
        return names.get(value, value)
    if isinstance(value, tuple):
        return tuple(_renamed(item, names) for item in value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        fields = {
            each.name: _renamed(getattr(value, each.name), names)
            for each in dataclasses.fields(value)
        }
        return type(value)(**fields)
    return value
