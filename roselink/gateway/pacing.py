"""Delays between calls of discovery: spread over the fleet as widely as the deadlines allow.

Discovery is one service for all gateways and serves calls from one queue. A call that waits too
long fails, but its queue entry is processed all the same. Gateways that all call at once, and retry
together soon after they fail, would keep the queue longer than the time-out of a call for ever. So
the spread of the calls grows with the number of gateways, and full jitter keeps calls that failed
together from being retried together.

A gateway must act on a change by a deadline, whether it has received the change or not. The
deadline depends on the cause of the call. In push mode a change counts as known as soon as
discovery has it. In poll mode a gateway without a watch has the settings' `ask_within`; after a
failed call, a change counts as known 6 s after discovery had it and was reachable. For changes
missed by an unresponsive watch, and for those of a new discovery, separate deadlines run from the
time-out or the reload.

A failed call shows little about discovery: it responds 503 after the same wait whether it is down
or overloaded, and a call that waits when it recovers may still fail. So retries continue in both
cases, at the slowest rate that keeps the deadline: the next call begins early enough after the
start of the failed one to be queued and served in time. The first such delay is drawn from all of
that interval; later ones vary little and so keep the fleet spread out. Whenever discovery recovers,
the calls arrive evenly over the deadline.
"""

from __future__ import annotations

import random
from enum import Enum

# Width of the spread for each gateway of the fleet. A smaller value delivers lists sooner; a larger
# one puts less load on discovery.
SPREAD_PER_GATEWAY_S = 0.1
# Smallest spread after a failure: a small fleet does not need to retry a failing service faster.
MIN_SPREAD_S = 1.0
# Keep-alive time-out of a watch: discovery sends an empty line every 2 s.
WATCH_TIMEOUT_S = 2.5
# Time-out of a response's head: discovery itself fails a call after 2 to 3 s in its queue.
RESPONSE_TIMEOUT_S = 3.5
# Time after a watch became unresponsive at which the changes that it missed count as known.
UNRESPONSIVE_DEADLINE_S = 6.0
# Time after SIGHUP at which the new discovery's changes count as known.
MOVED_DEADLINE_S = 4.0
# Time after which discovery's changes count as known once a call has failed, from when discovery
# has them and is reachable.
FAILED_DEADLINE_S = 6.0
# Time reserved for a call to be queued and served: each spread ends this long before its deadline.
CALL_TIME_S = 2.0
# Processing time of a call at discovery: repeated failures spread the calls of a fleet over this
# time per gateway.
SERVICE_TIME_S = 0.02
# Smallest jitter factor after the first failure: nearly constant delays preserve the spread that
# the first delays made.
MIN_JITTER_FRACTION = 0.95
# Fraction of `ask_within` used for the spread; the rest is for the call itself and for changes that
# have not arrived yet.
POLL_FRACTION = 0.6
# Longest retry delay in push mode, where changes count as known as soon as discovery recovers.
PUSHED_RETRY_S = 0.1
# Longest retry delay in push mode after a malformed list: the next one may be malformed too.
PUSHED_MALFORMED_RETRY_S = 0.5
# Calls that fail sooner than this were not queued at discovery.
MIN_QUEUED_S = 1.0
# Number of queued calls in a row that can fail in a short outage; more show a longer one.
MAX_FAILURES_IN_SHORT_OUTAGE = 4
# Smallest spread of a retry in poll mode.
MIN_RETRY_S = 0.25


class Cause(Enum):
    """Why discovery is called."""

    START = "start"
    MOVED = "another discovery"
    ENDED = "the watch ended"
    UNRESPONSIVE = "the watch fell silent"
    UNANSWERED = "the call brought nothing at all"
    FAILED = "the call failed"
    MALFORMED = "its list made no sense"


# Longest delays in push mode; other causes have none.
PUSHED_WAITS_S = {
    Cause.ENDED: PUSHED_RETRY_S,
    Cause.UNANSWERED: PUSHED_RETRY_S,
    Cause.FAILED: PUSHED_RETRY_S,
    Cause.MALFORMED: PUSHED_MALFORMED_RETRY_S,
}
# Time from a cause to the deadline by which the list must be received.
DEADLINES_S = {
    Cause.UNRESPONSIVE: UNRESPONSIVE_DEADLINE_S - WATCH_TIMEOUT_S,
    # The watch may have become unresponsive right when it was requested.
    Cause.UNANSWERED: UNRESPONSIVE_DEADLINE_S - RESPONSE_TIMEOUT_S,
    Cause.MOVED: MOVED_DEADLINE_S,
}


class CallPacing:
    """Computes the delays before one gateway's calls of discovery."""

    def __init__(self, gateways: int, list_deadline_s: float, seed: int, *, polls: bool) -> None:
        """Starts without failures.

        Args:
            gateways: Number of gateways that share the discovery service.
            list_deadline_s: `ask_within`: time for a gateway without a watch to get a list.
            seed: Seed of the jitter, which must differ between gateways.
            polls: Whether gateways poll for lists; otherwise discovery pushes them.
        """
        self._fleet_spread_s = SPREAD_PER_GATEWAY_S * gateways
        self._polls = polls
        self._latest_call_s = FAILED_DEADLINE_S - CALL_TIME_S
        self._max_spread_s = min(POLL_FRACTION * list_deadline_s, self._latest_call_s)
        self._initial_failed_spread_s = min(
            max(MIN_SPREAD_S, 4 * self._fleet_spread_s), self._latest_call_s
        )
        self._max_failed_spread_s = max(self._initial_failed_spread_s, SERVICE_TIME_S * gateways)
        self._random = random.Random(seed)
        # Consecutive failed calls, and those of them that were queued at discovery.
        self._failures = 0
        self._queued_failures = 0
        # Time by which the list must be received after a cause in `DEADLINES_S`, 0 for none.
        self._deadline = 0.0

    def wait_s(self, cause: Cause, now: float, took_s: float = 0.0) -> float:
        """Delay before the next call, in seconds.

        Args:
            cause: Why the call is made.
            now: The time of any monotonic clock, in seconds.
            took_s: Duration of the failed call, in seconds.
        """
        if cause is Cause.FAILED:
            self._failures += 1
            self._queued_failures += took_s >= MIN_QUEUED_S
        else:
            self._failures = 0
            self._queued_failures = 0
        draw = self._random.random()
        if not self._polls:
            return PUSHED_WAITS_S.get(cause, 0.0) * (0.5 + 0.5 * draw)
        if cause in DEADLINES_S:
            self._deadline = now + DEADLINES_S[cause]
        elif cause is not Cause.FAILED:
            self._deadline = 0.0
        if self._failures > 1 and now >= self._deadline:
            draw = MIN_JITTER_FRACTION + (1.0 - MIN_JITTER_FRACTION) * draw
        return draw * self._spread_s(cause, now, took_s)

    def _spread_s(self, cause: Cause, now: float, took_s: float) -> float:
        if now < self._deadline:
            return min(self._fleet_spread_s, max(MIN_RETRY_S, self._deadline - now - CALL_TIME_S))
        if cause is Cause.FAILED:
            return self._failed_spread_s(took_s)
        min_spread_s = MIN_SPREAD_S if cause is Cause.MALFORMED else 0.0
        return min(max(min_spread_s, self._fleet_spread_s), self._max_spread_s)

    def _failed_spread_s(self, took_s: float) -> float:
        """Spread after a failed call that took `took_s`.

        At first the deadline runs from the start of the failed call. After many queued calls have
        failed it runs from the end of the call: calls that begin after discovery recovers still
        keep it, and the queue becomes shorter. If processing one call of every gateway takes longer
        than the deadline, no rate can keep it, and the calls slow down to the processing rate:
        otherwise the queue would never become short enough.
        """
        excess_failures = self._queued_failures - MAX_FAILURES_IN_SHORT_OUTAGE
        if excess_failures < 0:
            return max(
                MIN_RETRY_S, min(self._initial_failed_spread_s, self._latest_call_s - took_s)
            )
        return min(
            self._initial_failed_spread_s * 2.0 ** min(excess_failures, 16),
            self._max_failed_spread_s,
        )
