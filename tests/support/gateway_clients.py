"""Clients of a gateway under test."""

from __future__ import annotations

import asyncio
import itertools
import socket

from tests.support.http_messages import Message, read_message, reset_on_close

request_numbers = itertools.count(1)


def client_request(
    path: str = "/status-check/k1", body: bytes = b"", method: str = "", **headers: str | None
) -> tuple[str, bytes]:
    """Build a request; returns its id and bytes. Header names have `_` for `-`, None omits a
    header.
    """
    name = path.split("/")[1]
    number = f"{next(request_numbers):x}"
    given: dict[str, str | None] = {
        "Host": "service.internal",
        "Request-Id": number,
        "Tenant": "acme",
        "Request-Timeout-Ms": "9000",
        "Idempotency-Key": "key-" + number if name == "seat-checkout" else None,
    }
    given |= {key.replace("_", "-"): value for key, value in headers.items()}
    method = method or ("GET" if name == "status-check" else "POST")
    if method == "POST":
        given["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in given.items() if v is not None)]
    return number, "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class BlockingClient:
    """A client on a blocking socket, which acts within one loop iteration: the effect is in the
    kernel when the call returns, and the gateway's loop has not reported it.
    """

    def __init__(self, port: int, receive_buffer: int | None = None) -> None:
        self.socket = socket.socket()
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(("127.0.0.1", port))
        self.disconnected = False

    def send(self, path: str = "/status-check/k1", count: int = 1) -> list[str]:
        requests = [client_request(path) for _ in range(count)]
        self.socket.sendall(b"".join(data for _, data in requests))
        return [number for number, _ in requests]

    def disconnect(self) -> None:
        self.disconnected = True
        self.disconnect_method()

    def close(self) -> None:
        self.socket.close()

    def reset(self) -> None:
        reset_on_close(self.socket)
        self.socket.close()

    def end_sending(self) -> None:
        self.socket.shutdown(socket.SHUT_WR)

    disconnect_method = close  # replaced by tests


class Client:
    """One client connection."""

    def __init__(self, port: int) -> None:
        self.port = port

    async def __aenter__(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self.writer.close()

    def send(
        self,
        path: str = "/status-check/k1",
        body: bytes = b"",
        method: str = "",
        **headers: str | None,
    ) -> str:
        """Write one request as built by `client_request`; returns its id."""
        number, data = client_request(path, body, method, **headers)
        self.writer.write(data)
        return number

    async def receive(self) -> Message:
        return await read_message(self.reader)

    async def request(
        self,
        path: str = "/status-check/k1",
        body: bytes = b"",
        method: str = "",
        **headers: str | None,
    ) -> Message:
        self.send(path, body, method, **headers)
        return await self.receive()
