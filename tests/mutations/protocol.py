"""Guards of `roselink/protocol`, the edit that removes each, and the tests that detect it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

PROTOCOL = ("tests/protocol",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "protocol/peer_pool.py",
        PROTOCOL,
        (
            "a reply after its time-out is delivered",
            "            on_reply = connection.pending_calls.pop(call_number, None)\n",
            "            on_reply = connection.pending_calls.get(call_number)\n",
        ),
    ),
    *mutations_of(
        "protocol/framing.py",
        PROTOCOL,
        ("a corrupt frame is accepted", "if zlib.crc32(payload) != checksum:", "if False:"),
    ),
)
