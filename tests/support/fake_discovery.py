"""A discovery service on a loopback socket, whose lists a test sends."""

from __future__ import annotations

import asyncio
import json
import socket
from typing import Any

from tests.support.http_messages import read_message, reset, response


class FakeDiscovery:
    """Accepts watches; `initial_list` is the first data sent on each new watch."""

    def __init__(self, *entries: dict[str, Any]) -> None:
        self.generation = 1
        self.initial_list: bytes = self.encode_list(*entries)
        self.requests: asyncio.Queue[str] = asyncio.Queue()
        # Indices of the watches that the gateway closed.
        self.ended: asyncio.Queue[int] = asyncio.Queue()
        self.watches: list[asyncio.StreamWriter] = []

    def encode_list(self, *entries: dict[str, Any], full: bool = True) -> bytes:
        given = {"generation": self.generation, "reset": full, "instances": list(entries)}
        return json.dumps(given).encode() + b"\n"

    async def start(self, bound: socket.socket | None = None) -> FakeDiscovery:
        sock = bound or socket.create_server(("127.0.0.1", 0))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.port: int = self._server.sockets[0].getsockname()[1]
        return self

    def down(self) -> None:
        """Reset the watches, and refuse connections until `up`."""
        self._server.close()
        for watch in self.watches:
            reset(watch)

    async def up(self) -> None:
        await self.start(socket.create_server(("127.0.0.1", self.port)))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number: int | None = None
        try:
            message = await read_message(reader)
            target = message.start_line.split()[1]
            if "watch=1" not in target:
                writer.write(response(self.initial_list.strip()))
                self.requests.put_nowait(target)
                return
            number = len(self.watches)
            self.watches.append(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.send(self.initial_list)
            self.requests.put_nowait(target)
            await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            if number is not None:
                # Also after a RST, which the gateway sends if it closes with unread bytes.
                self.ended.put_nowait(number)

    def send(self, data: bytes) -> None:
        self.watches[-1].write(b"%x\r\n%b\r\n" % (len(data), data))

    def send_changes(self, *entries: dict[str, Any]) -> None:
        self.generation += 1
        self.send(self.encode_list(*entries, full=False))
