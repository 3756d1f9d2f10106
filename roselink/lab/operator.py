"""A stand-in for the operator: writes configurations, sends them until they are taken, reads the
state.
"""

from __future__ import annotations

import asyncio
import json
from typing import Any

from roselink.lab.hosts import MODEL, RECORDS
from roselink.lab.wire import Address, ask

HOSTNAME = "lab.example"
KEY = "lab-key"
SILENCE_S = 2.5  # an order's answer may take so long
STATUS_SILENCE_S = 0.8
PAUSE_S, MOST_PAUSE_S = 0.1, 0.8


class OrderRefused(Exception):
    """The fleet refused the configuration."""

    code = "order_refused"


def configuration(generation: int) -> dict[str, Any]:
    """A streaming route to the model service, a plain one to the records, and one tenant."""
    common = {"hostname": HOSTNAME, "priority": 0, "max_attempts": 3, "public": False}
    chat = {"kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 500, "service": MODEL}
    chat |= {"session_affinity": True, "resumable": True, "gap_aim_ms": 500}
    lookup = {
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 200,
        "service": RECORDS,
    }
    lookup |= {"session_affinity": False, "resumable": False, "gap_aim_ms": 0}
    engine = {"capacity": 32, "kv_capacity": 100000, "models": [{"name": "m"}]}
    tenant = {
        "name": "lab",
        "api_keys": [KEY],
        "priority": 0,
        "unit": "requests",
        "plain_tokens": 1,
    }
    return {
        "generation": generation,
        "routes": [
            common | chat | {"name": "chat", "path_prefix": "/chat/"},
            common | lookup | {"name": "lookup", "path_prefix": "/lookup/"},
        ],
        "services": [
            {"name": MODEL, "health_check": "/healthz", "max_connections": 128, "engine": engine},
            {"name": RECORDS, "health_check": "/healthz", "max_connections": 64},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [tenant | {"rate_per_s": 2000, "burst": 2000}],
    }


class Operator:
    """Sends orders to any controller that answers."""

    def __init__(self, controllers: list[Address]) -> None:
        self._controllers = controllers
        self.generation = 0

    async def send(self, generation: int) -> None:
        """Send a configuration on top of the last one until it is taken; raises `OrderRefused`."""
        body = json.dumps(configuration(generation)).encode()
        headers = {"X-Base-Version": str(self.generation), "Content-Type": "application/json"}
        pause_s, tries = PAUSE_S, 0
        while True:
            address = self._controllers[tries % len(self._controllers)]
            tries += 1
            answer = await ask(address, "POST", "/config/replace", SILENCE_S, body, headers)
            if answer is not None and answer.head.status == 200:
                self.generation = generation
                return
            if answer is not None and answer.head.status < 500:
                raise OrderRefused(
                    f"status {answer.head.status}: {answer.body.decode(errors='replace')}"
                )
            await asyncio.sleep(pause_s)
            pause_s = min(MOST_PAUSE_S, pause_s * 2)

    async def status(self) -> dict[str, Any] | None:
        """The state as the first controller that has it confirmed tells it."""
        for address in self._controllers:
            answer = await ask(address, "GET", "/status", STATUS_SILENCE_S)
            if answer is not None and answer.head.status == 200:
                state: dict[str, Any] = json.loads(answer.body)
                if state["confirmed"]:
                    return state
        return None
