"""Stand-ins for the operator and for the clients."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from standins.machines import HTTP_OK, Fleet, Machine
from standins.wire import BROKEN, call, message, read_head, read_pieces

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

PROMISES = (408, 421, 429, 503)
SERVER_ERROR = 500
TRIES = 20
READ_TIMEOUT_S = 1.0
OPERATOR_PAUSES_S = (0.1, 0.2, 0.4, 0.8)
CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Operator:
    """Sends whole configurations, the same again until one is acknowledged."""

    fleet: Fleet
    note: Callable[[str], None]
    generation: int = 0
    acknowledged: list[tuple[int, float, dict[str, Any]]] = field(default_factory=list)

    async def send(self, document: dict[str, Any]) -> bool:
        """Send the next configuration; whether it was acknowledged."""
        base = self.generation
        body = json.dumps(document | {"generation": base + 2}).encode()
        headers = {"X-Base-Version": str(base), "Content-Type": "application/json"}
        for attempt in range(TRIES):
            core = self._core(attempt)
            answer = await call(
                (core.ip, self.fleet.admin), "POST /config/replace HTTP/1.1", headers, body, 2.5
            )
            if answer is not None and answer[0].status == HTTP_OK:
                self.generation = base + 2
                self.acknowledged.append((self.generation, time.monotonic(), document))
                self.note(f"configuration {self.generation} acknowledged")
                return True
            if answer is not None and answer[0].status < SERVER_ERROR:
                self.note(f"configuration {base + 2} refused: {answer[0].status} {answer[1]!r}")
                return False
            await asyncio.sleep(OPERATOR_PAUSES_S[min(attempt, len(OPERATOR_PAUSES_S) - 1)])
        self.note(f"configuration {base + 2} got no clear answer in {TRIES} calls")
        return False

    async def read(self, for_s: float) -> dict[str, Any] | None:
        """Ask for the newest configuration, again and again for a time; None if it never came."""
        began = time.monotonic()
        attempt = 0
        while time.monotonic() - began < for_s:
            core = self._core(attempt)
            address = (core.ip, self.fleet.admin)
            answer = await call(address, "GET /config/get HTTP/1.1", {}, b"", READ_TIMEOUT_S)
            status = None if answer is None else answer[0].status
            self.note(f"read of the configuration at {core.name}: {status}")
            if answer is not None and status == HTTP_OK:
                document: dict[str, Any] = json.loads(answer[1])
                return document
            attempt += 1
            await asyncio.sleep(0.3)
        return None

    def _core(self, attempt: int) -> Machine:
        """The gateway for a call, from the operator's list: those that are in service now."""
        listed = [m for m in self.fleet.controllers + self.fleet.spares if m.running]
        return listed[attempt % len(listed)]


@dataclass(slots=True)
class Try:
    """One try of a client: its own id, when it was sent, and how it ended."""

    id: str
    at: float
    key: str
    status: int | None = None
    whole: bool = False
    retry_after_s: float = 0.0
    ended_at: float = 0.0
    pieces: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class Clients:
    """Sends tries, each on a connection of its own, as the platform hands them to the routers."""

    fleet: Fleet
    note: Callable[[str], None]
    random: random.Random
    tries: list[Try] = field(default_factory=list)

    async def send(
        self, path: str, key: str, headers: dict[str, str], deadline_s: float, body: bytes = b"{}"
    ) -> Try:
        """One try."""
        router = self.random.choice(self.fleet.routers)
        made = Try(f"{self.random.getrandbits(64):016x}", time.monotonic(), key)
        self.tries.append(made)
        own = {
            "Host": "desk.example",
            "X-Request-Id": made.id,
            "X-Request-Deadline": str(int(deadline_s * 1000)),
            "Authorization": f"Bearer {key}",
        }
        writer: asyncio.StreamWriter | None = None
        try:
            async with asyncio.timeout(deadline_s):
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    reader, writer = await asyncio.open_connection(router.ip, self.fleet.http)
                made.at = time.monotonic()
                writer.write(message(f"POST {path} HTTP/1.1", own | headers, body))
                head = await read_head(reader)
                made.status = head.status
                made.retry_after_s = float(head.headers.get("retry-after", "0"))
                made.pieces = [piece async for piece in read_pieces(reader, head)]
                made.whole = True
        except (*BROKEN, TimeoutError):
            pass
        finally:
            if writer is not None:
                writer.close()
        made.ended_at = time.monotonic()
        self.note(
            f"client {made.id} at {router.name}: {made.status}{'' if made.whole else ' (cut)'}"
        )
        return made

    async def request(self, path: str, key: str, headers: dict[str, str], deadline_s: float) -> Try:
        """A request with at most one retry, only after a promise and as long as told."""
        began = time.monotonic()
        made = await self.send(path, key, headers, deadline_s)
        left_s = began + deadline_s - time.monotonic()
        if made.status in PROMISES and left_s > 0:
            await asyncio.sleep(min(made.retry_after_s, left_s / 3))
            left_s = began + deadline_s - time.monotonic()
            made = await self.send(path, key, headers, left_s)
        return made
