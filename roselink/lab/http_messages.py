"""The subset of HTTP/1.1 (RFC 9112) that the lab needs: heads, and bodies by length or chunked."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from roselink.lab.exceptions import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

# Host and port.
Address = tuple[str, int]
# The elements of a message, as `MalformedMessageError` names them.
HEAD = "head"
BODY = "message body"
# Method and path of a request, or version and status of a response.
MIN_START_LINE_FIELDS = 2


@dataclass(slots=True)
class Head:
    """The start line and the headers of a message.

    Attributes:
        start_line: the fields of the start line.
        headers: the values by lower-case name.
    """

    start_line: list[str]
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def status(self) -> int:
        """The status of a response."""
        return int(self.start_line[1])

    @property
    def method(self) -> str:
        """The method of a request."""
        return self.start_line[0]

    @property
    def path(self) -> str:
        """The path of a request, without its query."""
        return self.start_line[1].partition("?")[0]

    @property
    def keep_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        return self.headers.get("connection", "").lower() != "close"


@dataclass(frozen=True, slots=True)
class Request:
    """A request; `send_request` adds `Host`, `Connection` and the body's length to its headers."""

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Response:
    """A response with its complete body."""

    head: Head
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the next head.

    Raises:
        MalformedMessageError: it ended early, or its start line has fewer than two fields.
    """
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError) as error:
        raise MalformedMessageError(HEAD, error) from None
    first, *lines = text.strip().split("\r\n")
    start_line = first.split(" ", 2)
    if len(start_line) < MIN_START_LINE_FIELDS:
        raise MalformedMessageError(HEAD, repr(first))
    pairs = (line.partition(":") for line in lines)
    return Head(start_line, {name.strip().lower(): value.strip() for name, _, value in pairs})


async def read_chunks(reader: asyncio.StreamReader, head: Head) -> AsyncIterator[bytes]:
    """Read a body in chunks as they arrive.

    Raises:
        MalformedMessageError: the body ended early.
    """
    try:
        if head.headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                yield (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif length := int(head.headers.get("content-length", "0")):
            yield await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ValueError, OSError) as error:
        raise MalformedMessageError(BODY, error) from None


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Read a complete body.

    Raises:
        MalformedMessageError: the body ended early.
    """
    return b"".join([chunk async for chunk in read_chunks(reader, head)])


def encode_message(start_line: str, headers: dict[str, str], body: bytes | None = b"") -> bytes:
    """Encode a message; with `body=None` the head of one whose body follows in chunks."""
    framing = (
        {"Transfer-Encoding": "chunked"} if body is None else {"Content-Length": str(len(body))}
    )
    lines = [start_line, *(f"{name}: {value}" for name, value in (headers | framing).items())]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Encode one chunk of a body; an empty one ends the body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send_request(address: Address, request: Request, *, timeout_s: float) -> Response | None:
    """Send a request on a new connection; None without a complete response in `timeout_s`."""
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            headers = {
                "Host": f"{address[0]}:{address[1]}",
                "Connection": "close",
                **request.headers,
            }
            start_line = f"{request.method} {request.path} HTTP/1.1"
            writer.write(encode_message(start_line, headers, request.body))
            head = await read_head(reader)
            return Response(head, await read_body(reader, head))
    except (OSError, TimeoutError, MalformedMessageError):
        return None
    finally:
        if writer is not None:
            writer.close()
