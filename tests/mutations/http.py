"""Guards of `roselink/http`, the edit that removes each and the tests that detect the removal."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

HOST_POOL_TESTS = (
    "tests/http/test_host_pool.py",
    "tests/gateway/test_closes.py",
    "tests/dataplane",
)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "http/host_pool.py",
        HOST_POOL_TESTS,
        (
            "a closing connection is reused",
            "            if connection.stale() or connection.has_unread():\n",
            "            if connection.stale():\n",
        ),
        (
            "surplus bytes after a response reach the next request",
            "        reusable_before = attempt.started_at - REUSE_DELAY_S\n",
            "        reusable_before = attempt.started_at\n",
        ),
    ),
    *mutations_of(
        "http/host_connection.py",
        HOST_POOL_TESTS,
        (
            "a connection with unsent request bytes is reused",
            "if self._keep_alive and not self._has_excess and not self._has_unsent:",
            "if self._keep_alive and not self._has_excess:",
        ),
        (
            "a reset counts as an end of stream",
            "ends_by_close\n            and self._poller is not None\n"
            "            and not self._poller.was_reset()",
            "ends_by_close and self._poller is not None",
        ),
        (
            "unsent bytes count as sent",
            "Outcome.CONNECT_FAILED if self._has_unsent else Outcome.RESET",
            "Outcome.RESET",
        ),
        (
            "sent bytes count as unsent",
            "Outcome.CONNECT_FAILED if self._has_unsent else Outcome.RESET",
            "Outcome.CONNECT_FAILED",
        ),
    ),
)
