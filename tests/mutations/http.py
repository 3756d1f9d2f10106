"""Guards of `roselink/http`, the edit that removes each and the tests that detect the removal."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

HOST_POOL_TESTS = (
    "tests/http/test_host_pool.py",
    "tests/gateway/test_closes.py",
    "tests/dataplane",
)

CLOSE_TESTS = ("tests/gateway/test_closes.py", "tests/dataplane/test_drain.py")

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "http/server_connection.py",
        CLOSE_TESTS,
        (
            "a kept connection stays open when its response ends in a drain",
            "        if self._server.closing_kept and not self._sent_ahead:\n",
            "        if False:\n",
        ),
        (
            "a connection is closed although a further request is here",
            "        if self._server.closing_kept and not self._sent_ahead:\n",
            "        if self._server.closing_kept:\n",
        ),
        (
            "a request that crosses the close is read",
            "        if discard:\n            self._discard_input()\n",
            "        if True:\n            self._discard_input()\n",
        ),
        (
            "a recent response is reset by the close of its idle connection",
            "if self._completed_requests and responded_s < LINGER_S:",
            "if False:",
        ),
        (
            "an unread request holds its connection for ever",
            "        if self._poller.has_unread():\n            self._discard_input()\n",
            "        if self._poller.has_unread():\n",
        ),
        (
            "a client's end of stream behind an unread request is not noticed",
            "        if self._reading_paused and self._poller is not None "
            "and self._poller.peer_closed():\n",
            "        if False:\n",
        ),
        (
            "a request that is not complete is dropped at the end of a drain",
            "        if self._in_request and not self._input_ended:\n",
            "        if False:\n",
        ),
    ),
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
