"""As much HTTP/1.1 as the stand-ins need: heads, bodies by length or in chunks, event streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Address = tuple[str, int]
MOST_HEAD_BYTES = 65536


class BrokenMessage(Exception):
    """A message ended early or can't be read."""

    code = "broken_message"


@dataclass(slots=True)
class Head:
    """A first line, split at spaces, and headers by lower-case names."""

    first: list[str]
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """Of an answer."""
        return int(self.first[1])

    @property
    def method(self) -> str:
        """Of a request."""
        return self.first[0]

    @property
    def path(self) -> str:
        """Of a request, without its query."""
        return self.first[1].partition("?")[0]

    @property
    def keeps(self) -> bool:
        """Whether the connection stays open behind this message."""
        return self.headers.get("connection", "").lower() != "close"


@dataclass(frozen=True, slots=True)
class Answer:
    """A whole answer."""

    head: Head
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Head:
    """The next head; raises `BrokenMessage`."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise BrokenMessage(f"no head: {error}") from None
    first, *lines = text.strip().split("\r\n")
    parts = first.split(" ", 2)
    if len(parts) < 2:
        raise BrokenMessage(f"no head: {first!r}")
    pairs = (line.partition(":") for line in lines)
    return Head(parts, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_parts(reader: asyncio.StreamReader, head: Head) -> AsyncIterator[bytes]:
    """The body's parts as they come; raises `BrokenMessage` when it ends early."""
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif length := int(head.headers.get("content-length", "0")):
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise BrokenMessage(f"no whole body: {error}") from None


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """The whole body; raises `BrokenMessage`."""
    return b"".join([part async for part in read_parts(reader, head)])


def message(first: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """A message with its body's length; with None it goes in chunks, which follow."""
    framing = (
        {"Transfer-Encoding": "chunked"} if body is None else {"Content-Length": str(len(body))}
    )
    lines = [first, *(f"{name}: {value}" for name, value in (headers | framing).items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def chunk(data: bytes) -> bytes:
    """One part of a body in chunks; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def ask(
    address: Address,
    method: str,
    path: str,
    timeout_s: float,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Answer | None:
    """One call on a connection of its own; None when there was no whole answer in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fields = {
                "Host": f"{address[0]}:{address[1]}",
                "Connection": "close",
                **(headers or {}),
            }
            writer.write(message(f"{method} {path} HTTP/1.1", fields, body))
            head = await read_head(reader)
            return Answer(head, await read_body(reader, head))
    except (OSError, TimeoutError, BrokenMessage):
        return None
    finally:
        if writer is not None:
            writer.close()
