"""HTTP/1.1 messages framed by Content-Length, and connections closed by RST."""

from __future__ import annotations

import socket
import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


@dataclass
class Message:
    start_line: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        return int(self.start_line.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message framed by Content-Length; raises `IncompleteReadError` at the end of the
    stream.
    """
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    start_line, *lines = head.strip().split("\r\n")
    headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
    return Message(
        start_line, headers, await reader.readexactly(int(headers.get("content-length", "0")))
    )


def response(body: bytes = b"ok", status: str = "200 OK", *headers: str) -> bytes:
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def reset_on_close(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection by RST, as a crashed host does."""
    reset_on_close(writer.get_extra_info("socket"))
    writer.transport.abort()
