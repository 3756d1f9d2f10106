"""Mutations of `roselink/dataplane`: each removes one guard, which its tests must detect."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

DATAPLANE = ("tests/dataplane",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "dataplane/attempt_runner.py",
        DATAPLANE,
        (
            "non-repeatable request is sent a second time",
            "return not (non_repeatable and exchange.may_run) and self._owner.still_wanted(",
            "return self._owner.still_wanted(",
        ),
        (
            "attempt goes to host of another service",
            "exchange.closed or host.service != exchange.service or",
            "exchange.closed or",
        ),
        (
            "attempt is sent after the deadline",
            "in_time = self._loop.time() < exchange.give_up_at",
            "in_time = True",
        ),
        (
            "host gets the full deadline instead of the remaining time",
            "(exchange.give_up_at - self._loop.time())",
            "(exchange.give_up_at - exchange.request.received_at)",
        ),
        (
            "resumed stream starts from the beginning",
            '            last_event_id = b"%d" % (exchange.progress.last_id or 0)\n',
            "            pass\n",
        ),
        (
            "ended attempt that may have run is not recorded",
            "            exchange.may_have_run = True\n",
            "            pass\n",
        ),
        (
            "truncated stream is ended as complete",
            "        elif response.finish_stream():",
            "        elif response.finish_stream() or True:",
        ),
        (
            "host error is not kept for the client",
            "            exchange.host_failure = failure\n",
            "            pass\n",
        ),
    ),
    *mutations_of(
        "dataplane/exchange.py",
        DATAPLANE,
        (
            "streams resume on non-resumable routes",
            "            and self.route.resumable\n",
            "",
        ),
        ("streams without ids resume", " and self.progress.resumable", ""),
        (
            "responses of two attempts are relayed",
            "return exchange.relayed_attempt in (None, self) or ("
            "exchange.awaits_resume and self.resumed)",
            "return True",
        ),
        (
            "stream closed within an event is ended as complete",
            "if (by_close and stream.ends_within_event) or not self._become_relayed(None):",
            "if not self._become_relayed(None):",
        ),
        (
            "stream with a gap is not aborted",
            "if stream.gap or stream.buffered_bytes > BUFFER_LIMIT_BYTES:",
            "if stream.buffered_bytes > BUFFER_LIMIT_BYTES:",
        ),
        (
            "host's not-executed status is relayed without proof",
            "            or self.status in NOT_EXECUTED_STATUSES\n",
            "",
        ),
        (
            "sent request counts as unsent",
            "return self.attempt is not None and self.attempt.sent",
            "return False",
        ),
    ),
    *mutations_of(
        "dataplane/decision_driver.py",
        DATAPLANE,
        (
            "attempt is sent for disconnected client",
            "        if exchange.client.has_left():",
            "        if False:",
        ),
        (
            "attempt is sent with removed key",
            "return key_is_known and self._authority.may_use_keys()",
            "return self._authority.may_use_keys()",
        ),
        (
            "attempt is sent with unconfirmed key",
            "return key_is_known and self._authority.may_use_keys()",
            "return key_is_known",
        ),
        (
            "503 is sent for request that may have run",
            "        elif not exchange.may_run:\n",
            "        elif True:\n",
        ),
        (
            "interrupted response is ended as complete",
            "            exchange.client.abort_response()\n",
            "            exchange.client.send_end()\n",
        ),
        (
            "duplicate quota decision admits request twice",
            "if exchange.closed or exchange.facts is not None:",
            "if exchange.closed:",
        ),
        (
            "expired request is accepted",
            "        if exchange.give_up_at <= self._loop.time():\n            self._refuse(",
            "        if False:\n            self._refuse(",
        ),
        (
            "request accepted during drain keeps its own deadline",
            "            exchange.expires_at = self._drain.limit(exchange.expires_at)\n",
            "",
        ),
        (
            "request that can't end before the drain does is taken",
            "            if not self._drain.may_take(self._loop.time(), exchange.expires_at):\n",
            "            if False:\n",
        ),
        (
            "drain does not move deadline timers of open requests",
            "                self._set_deadline_timer(exchange, exchange.give_up_at)\n",
            "",
        ),
        (
            "unconfigured gateway uses the ordinary retry delay",
            "unconfigured_retry_s(request, self._random.random())",
            "0.25",
        ),
        ("quota refusal is ignored", "        if not allowed:\n", "        if False:\n"),
        (
            "quota is returned for request that may have run",
            "exchange.tenant is not None and not exchange.may_run:",
            "exchange.tenant is not None:",
        ),
        (
            "attempts continue after request is closed",
            "        for response in list(exchange.attempts.values()):\n"
            "            response.cancel()\n"
            "        # Break the reference",
            "        # Break the reference",
        ),
        (
            "no final response at the deadline",
            "        self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)\n\n    # The decider.",
            "\n    # The decider.",
        ),
    ),
    *mutations_of(
        "dataplane/admission.py",
        DATAPLANE,
        (
            "unknown route gives 404 without confirmed keys",
            "return Refusal(404) if keys_usable else NOT_CONFIRMED",
            "return Refusal(404)",
        ),
        (
            "keys are checked while unconfirmed",
            "    if not keys_usable:\n        return NOT_CONFIRMED\n",
            "",
        ),
        (
            "route timeout is ignored",
            "return min(allowed_s, route.timeout_ms / 1000) if route.timeout_ms > 0 else allowed_s",
            "return allowed_s",
        ),
    ),
    *mutations_of(
        "dataplane/fleet_host_connection.py",
        DATAPLANE,
        (
            "response to another request is accepted",
            "        if response_id != attempt.request_id:",
            "        if not response_id:",
        ),
        (
            "response without an id counts as a rejection",
            "        if response_id != attempt.request_id:",
            "        if response_id != attempt.request_id and (\n"
            "            response_id or self._outcome() is not Outcome.FULL\n        ):",
        ),
        (
            "long request with failed write counts as unsent",
            "if self._sent_bytes > PROVABLY_UNSENT_LIMIT_BYTES:",
            "if False:",
        ),
        (
            "connection is reused after response to another request",
            "should_keep_alive() and not self._surplus_count",
            "should_keep_alive()",
        ),
        (
            "stale connection is used",
            "return self.pool.now() - self.idle_since > self._idle_limit_s",
            "return False",
        ),
        (
            "rejection without X-Not-Executed is accepted as not executed",
            'status in REJECTION_STATUSES and b"x-not-executed" in headers\n',
            "status in REJECTION_STATUSES\n",
        ),
        (
            "success without signature is accepted",
            'Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR',
            "Outcome.SUCCESS",
        ),
        (
            "unrequested bytes do not close the connection",
            "            self.drop()  # bytes that belong to no request\n",
            "",
        ),
        (
            "number of responses to other requests is unlimited",
            "if not response_id or self._surplus_count > SURPLUS_LIMIT:",
            "if not response_id:",
        ),
    ),
    *mutations_of(
        "dataplane/fleet_host_pool.py",
        DATAPLANE,
        (
            "non-repeatable request uses long idle connection",
            "return fresh or not attempt.non_repeatable",
            "return True",
        ),
        (
            "a request is sent again on the connection that rejected it",
            "if connection.has_carried(attempt.request_id):",
            "if False:",
        ),
        (
            "connection limit per host is ignored",
            "return host.open_count < host.connection_limit",
            "return True",
        ),
    ),
    *mutations_of(
        "dataplane/event_streams.py",
        DATAPLANE,
        (
            "gap in resumed stream is not detected",
            "            self.gap = True\n",
            "            pass\n",
        ),
        (
            "events already received are relayed again",
            "        if self._skipping_known_events:\n            return False\n",
            "",
        ),
        (
            "incomplete event already received is relayed",
            'rest = b"" if self._skipping_known_events or self.gap else',
            'rest = b"" if self.gap else',
        ),
        (
            "event without id does not prevent resumption",
            "self._has_event_without_id = self._has_event_without_id or not event.comment",
            "pass",
        ),
    ),
    *mutations_of(
        "dataplane/proxy_request.py",
        DATAPLANE,
        ("client can set X-Tenant-Id", "x-tenant-id x-target-instance", "x-target-instance"),
        ("API keys are relayed to hosts", '"authorization content-length', '"content-length'),
        (
            "duplicate single-valued headers are accepted",
            "        if lower in _SINGLE_VALUED and lower in values:",
            "        if False:",
        ),
    ),
    *mutations_of(
        "dataplane/host_directory.py",
        DATAPLANE,
        (
            "host with changed address keeps its old connections",
            "            self._host_pool.retire(current)\n            current = None",
            "            pass",
        ),
        (
            "draining host gets requests",
            "        elif current.ready:\n            self._host_pool.retire(current)\n",
            "",
        ),
    ),
    *mutations_of(
        "dataplane/client_connection.py",
        DATAPLANE,
        (
            "truncated response is closed as if complete",
            "        if self._transport is not None and not self._chunked:\n            sock",
            "        if False and self._transport is not None:\n            sock",
        ),
    ),
)
