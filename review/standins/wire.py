"""The part of HTTP/1.1 that the stand-ins speak, over asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

Address = tuple[str, int]
# What ends an exchange early: a close, a reset, bytes that are no message.
BROKEN = (OSError, ValueError, IndexError, asyncio.IncompleteReadError, asyncio.LimitOverrunError)


@dataclass(slots=True)
class Head:
    """A start line and its headers; names are in lower case."""

    start: list[str]
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start[1])

    @property
    def keeps(self) -> bool:
        """Whether the connection may be used again."""
        return self.headers.get("connection", "").lower() != "close"


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the next head."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.strip().split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Head(first.split(" ", 2), {n.strip().lower(): v.strip() for n, _, v in pairs})


async def read_pieces(reader: asyncio.StreamReader, head: Head) -> AsyncIterator[bytes]:
    """Read a body, piece by piece; it must end as its framing says."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            yield (await reader.readexactly(size + 2))[:-2]
        await reader.readuntil(b"\r\n")
    elif length := int(head.headers.get("content-length", "0")):
        yield await reader.readexactly(length)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a whole body."""
    return b"".join([piece async for piece in read_pieces(reader, head)])


def message(start: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """A message; with `body=None` the head of one whose body follows in chunks."""
    framing = (
        {"Transfer-Encoding": "chunked"} if body is None else {"Content-Length": str(len(body))}
    )
    lines = [start, *(f"{name}: {value}" for name, value in (headers | framing).items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def chunk(data: bytes) -> bytes:
    """One chunk of a body; an empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def call(
    address: Address, start: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> tuple[Head, bytes] | None:
    """One request on a connection of its own; None without a whole answer in time."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            fixed = {"Host": f"{address[0]}:{address[1]}", "Connection": "close"}
            writer.write(message(start, fixed | headers, body))
            head = await read_head(reader)
            return head, await read_body(reader, head)
    except (*BROKEN, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
