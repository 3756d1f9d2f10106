"""A simulated operator, which sends configurations until confirmed, and reads the status."""

from __future__ import annotations

import asyncio
import json
from http import HTTPStatus
from typing import Any

from roselink.lab.exceptions import ConfigurationRefusedError
from roselink.lab.hosts import MODEL, RECORDS
from roselink.lab.http_messages import Address, Request, send_request

HOSTNAME = "lab.example"
KEY = "lab-key"
# The time-outs of configuration and status requests, in seconds.
REPLACE_TIMEOUT_S = 2.5
STATUS_TIMEOUT_S = 0.8
# The first and the longest pause before a retry, in seconds; each pause doubles the previous one.
FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.8


def configuration(generation: int) -> dict[str, Any]:
    """A configuration with a streaming and a plain route to the two services, and one tenant."""
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
    """Sends configurations to the controllers in turn, until one confirms.

    Attributes:
        generation: the generation of the last confirmed configuration.
    """

    def __init__(self, controllers: list[Address]) -> None:
        """Take the addresses of the admin APIs of all controllers."""
        self._controllers = controllers
        self.generation = 0

    async def send(self, generation: int) -> None:
        """Send a configuration based on the last confirmed one, and retry until it is confirmed.

        Raises:
            ConfigurationRefusedError: a controller refused it.
        """
        body = json.dumps(configuration(generation)).encode()
        headers = {"X-Base-Version": str(self.generation), "Content-Type": "application/json"}
        request = Request("POST", "/config/replace", body, headers)
        pause_s = FIRST_RETRY_PAUSE_S
        attempts = 0
        while True:
            address = self._controllers[attempts % len(self._controllers)]
            attempts += 1
            response = await send_request(address, request, timeout_s=REPLACE_TIMEOUT_S)
            if response is not None and response.head.status == HTTPStatus.OK:
                self.generation = generation
                return
            if response is not None and response.head.status < HTTPStatus.INTERNAL_SERVER_ERROR:
                raise ConfigurationRefusedError(
                    response.head.status, response.body.decode(errors="replace")
                )
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)

    async def status(self) -> dict[str, Any] | None:
        """The first confirmed status from any controller; None if there is none."""
        for address in self._controllers:
            response = await send_request(
                address, Request("GET", "/status"), timeout_s=STATUS_TIMEOUT_S
            )
            if response is not None and response.head.status == HTTPStatus.OK:
                state: dict[str, Any] = json.loads(response.body)
                if state["confirmed"]:
                    return state
        return None
