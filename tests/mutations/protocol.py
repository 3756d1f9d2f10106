"""Guards of `roselink/protocol`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

PEERS = ("tests/protocol",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "protocol/peers.py",
        PEERS,
        (
            "an answer after its time-out is taken",
            "            done = connection.calls.pop(call, None)\n",
            "            done = connection.calls.get(call)\n",
        ),
        ("a frame that is spoilt is taken", "if zlib.crc32(payload) != checksum:", "if False:"),
    ),
)
