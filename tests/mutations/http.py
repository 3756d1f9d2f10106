"""Guards of `roselink/http`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

CONNECTION_POOL = (
    "tests/gateway/test_host_pool.py",
    "tests/gateway/test_closes.py",
    "tests/dataplane",
)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "http/host_pool.py",
        CONNECTION_POOL,
        (
            "a connection that is closing is used",
            "            if connection.stale() or connection.unread():\n",
            "            if connection.stale():\n",
        ),
        (
            "bytes right behind an answer meet the next",
            "        settled = attempt.began - SETTLE_S\n",
            "        settled = attempt.began\n",
        ),
    ),
    *mutations_of(
        "http/host_connection.py",
        CONNECTION_POOL,
        (
            "a connection is kept where a body is still due",
            "if self._keep and not self._excess and not self._unsent:",
            "if self._keep and not self._excess:",
        ),
        (
            "a reset counts as the end",
            "endless\n            and self._look is not None\n"
            "            and not self._look.reset()",
            "endless and self._look is not None",
        ),
        (
            "unsent bytes count as sent",
            "Outcome.CONNECT_FAILED if self._unsent else Outcome.RESET",
            "Outcome.RESET",
        ),
        (
            "sent bytes count as unsent",
            "Outcome.CONNECT_FAILED if self._unsent else Outcome.RESET",
            "Outcome.CONNECT_FAILED",
        ),
    ),
)
