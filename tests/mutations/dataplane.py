"""Guards of `roselink/dataplane`, with the edit that removes each and the tests that miss it."""

from __future__ import annotations

from tests.mutations.mutation import Mutation, mutations_of

DATAPLANE = ("tests/dataplane",)

MUTATIONS: tuple[Mutation, ...] = (
    *mutations_of(
        "dataplane/attempt_runner.py",
        DATAPLANE,
        (
            "a second attempt of what runs once",
            "return not (non_repeatable and exchange.may_run) and self._owner.still_wanted(",
            "return self._owner.still_wanted(",
        ),
        (
            "a host of another service",
            "exchange.closed or host.service != exchange.service or",
            "exchange.closed or",
        ),
        (
            "sent again after its time",
            "in_time = self._loop.time() < exchange.give_up_at",
            "in_time = True",
        ),
        (
            "a host is handed the whole time",
            "(exchange.give_up_at - self._loop.time())",
            "(exchange.give_up_at - exchange.request.received_at)",
        ),
        (
            "a resumed stream begins anew",
            '            last_event_id = b"%d" % (exchange.progress.last_id or 0)\n',
            "            pass\n",
        ),
        (
            "an end that may have run is forgotten",
            "            exchange.may_have_run = True\n",
            "            pass\n",
        ),
        (
            "a stream cut short is complete",
            "        elif response.finish_stream():",
            "        elif response.finish_stream() or True:",
        ),
        (
            "a failure of a host is held for nobody",
            "            exchange.host_failure = failure\n",
            "            pass\n",
        ),
    ),
    *mutations_of(
        "dataplane/exchange.py",
        DATAPLANE,
        (
            "streams resume on any route",
            "            and self.route.resumable\n",
            "",
        ),
        ("streams resume where ids tell nothing", " and self.progress.resumable", ""),
        (
            "two responses are relayed",
            "return exchange.relayed_attempt in (None, self) or ("
            "exchange.awaits_resume and self.resumed)",
            "return True",
        ),
        (
            "half an event at a close is complete",
            "if (by_close and stream.ends_within_event) or not self._become_relayed(None):",
            "if not self._become_relayed(None):",
        ),
        (
            "a gap is passed over",
            "if stream.gap or stream.buffered_bytes > BUFFER_LIMIT_BYTES:",
            "if stream.buffered_bytes > BUFFER_LIMIT_BYTES:",
        ),
        (
            "a host's promise is passed on",
            "            or self.status in NOT_EXECUTED_STATUSES\n",
            "",
        ),
        (
            "bytes that were sent count as unsent",
            "return self.attempt is not None and self.attempt.sent",
            "return False",
        ),
    ),
    *mutations_of(
        "dataplane/decision_driver.py",
        DATAPLANE,
        (
            "sent for a client that has left",
            "        if exchange.client.has_left():",
            "        if False:",
        ),
        (
            "sent with a key that is gone",
            "return key_is_known and self._authority.may_use_keys()",
            "return self._authority.may_use_keys()",
        ),
        (
            "sent with a key that is not confirmed",
            "return key_is_known and self._authority.may_use_keys()",
            "return key_is_known",
        ),
        (
            "a promise for what may have run",
            "        elif not exchange.may_run:\n",
            "        elif True:\n",
        ),
        (
            "a response that has begun is ended as whole",
            "            exchange.client.abort_response()\n",
            "            exchange.client.send_end()\n",
        ),
        (
            "admitted twice",
            "if exchange.closed or exchange.facts is not None:",
            "if exchange.closed:",
        ),
        (
            "an expired request is accepted",
            "        if exchange.give_up_at <= self._loop.time():\n            self._refuse(",
            "        if False:\n            self._refuse(",
        ),
        (
            "a request is accepted in a drain without its deadline",
            "        if self._drain_ends_at is not None:\n            exchange.expires_at =",
            "        if False:\n            exchange.expires_at =",
        ),
        (
            "a drain leaves guards where they were",
            "                self._set_deadline_timer(exchange, exchange.give_up_at)\n",
            "",
        ),
        (
            "an unconfigured gateway is judged as any",
            "unconfigured_retry_s(request, self._random.random())",
            "0.25",
        ),
        ("a quota's no is passed over", "        if not allowed:\n", "        if False:\n"),
        (
            "what may have run is given back",
            "exchange.tenant is not None and not exchange.may_run:",
            "exchange.tenant is not None:",
        ),
        (
            "attempts outlive their request",
            "        for response in list(exchange.attempts.values()):\n"
            "            response.cancel()\n"
            "        # Break the reference",
            "        # Break the reference",
        ),
        (
            "no last word at the end of the time",
            "        self._give_up(exchange, FailureReason.OUT_OF_TIME, 0.0)\n\n    # The decider.",
            "\n    # The decider.",
        ),
    ),
    *mutations_of(
        "dataplane/admission.py",
        DATAPLANE,
        (
            "an unknown route is refused without a confirmed configuration",
            "return Refusal(404) if keys_usable else NOT_CONFIRMED",
            "return Refusal(404)",
        ),
        (
            "keys are judged without being sure",
            "    if not keys_usable:\n        return NOT_CONFIRMED\n",
            "",
        ),
        (
            "the client's time alone counts",
            "return min(allowed_s, route.timeout_ms / 1000) if route.timeout_ms > 0 else allowed_s",
            "return allowed_s",
        ),
    ),
    *mutations_of(
        "dataplane/fleet_host_connection.py",
        DATAPLANE,
        (
            "a response to another request is accepted",
            "if response_id != attempt.request_id and not rejected:",
            "if not response_id and not rejected:",
        ),
        (
            "a long request counts as never sent",
            "if self._sent_bytes > PROVABLY_UNSENT_LIMIT_BYTES:",
            "if False:",
        ),
        (
            "a connection is kept behind a surplus response",
            "should_keep_alive() and not self._surplus_count",
            "should_keep_alive()",
        ),
        (
            "a connection that its host may have ended",
            "return self.pool.now() - self.idle_since > self._idle_limit_s",
            "return False",
        ),
        (
            "a rejection without X-Not-Executed counts as one",
            'status in REJECTION_STATUSES and b"x-not-executed" in headers\n',
            "status in REJECTION_STATUSES\n",
        ),
        (
            "a success without its signature is accepted",
            'Outcome.SUCCESS if b"x-response-signature" in headers else Outcome.ERROR',
            "Outcome.SUCCESS",
        ),
        (
            "unrequested bytes are kept",
            "            self.drop()  # bytes that belong to no request\n",
            "",
        ),
        (
            "surplus responses without a limit",
            "if not response_id or self._surplus_count > SURPLUS_LIMIT:",
            "if not response_id:",
        ),
    ),
    *mutations_of(
        "dataplane/fleet_host_pool.py",
        DATAPLANE,
        (
            "an old connection for what runs once",
            "return not non_repeatable or fresh or connection.stale()",
            "return True",
        ),
        (
            "more connections than a host takes",
            "return host.open_count < host.connection_limit",
            "return True",
        ),
    ),
    *mutations_of(
        "dataplane/event_streams.py",
        DATAPLANE,
        ("a gap in events is not seen", "            self.gap = True\n", "            pass\n"),
        (
            "events that the client has come again",
            "        if self._skipping_known_events:\n            return False\n",
            "",
        ),
        (
            "half an event goes on",
            'rest = b"" if self._skipping_known_events or self.gap else',
            'rest = b"" if self.gap else',
        ),
        (
            "an event without id is no matter",
            "self._has_event_without_id = self._has_event_without_id or not event.comment",
            "pass",
        ),
    ),
    *mutations_of(
        "dataplane/proxy_request.py",
        DATAPLANE,
        ("a client names its tenant", "x-tenant-id x-target-instance", "x-target-instance"),
        ("keys go on to hosts", '"authorization content-length', '"content-length'),
        (
            "two headers that must stand once",
            "        if lower in _SINGLE_VALUED and lower in values:",
            "        if False:",
        ),
    ),
    *mutations_of(
        "dataplane/host_directory.py",
        DATAPLANE,
        (
            "an address that another host has",
            "            self._host_pool.retire(current)\n            current = None",
            "            pass",
        ),
        (
            "a draining host takes requests",
            "        elif current.ready:\n            self._host_pool.retire(current)\n",
            "",
        ),
    ),
    *mutations_of(
        "dataplane/client_connection.py",
        DATAPLANE,
        (
            "a truncated response ends as if it were whole",
            "        if self._transport is not None and not self._chunked:\n            sock",
            "        if False and self._transport is not None:\n            sock",
        ),
    ),
)
