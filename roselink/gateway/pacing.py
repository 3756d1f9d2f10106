"""When to call discovery: spread over the fleet as widely as the deadlines for news allow.

Discovery is one service for all gateways and handles calls in turn. A call that waits too long
there fails, yet its turn is worked off all the same. Gateways that all call at once, and again soon
after they all failed, thus keep its queue longer than any call may wait, for good. So the time over
which the calls are spread grows with the number of gateways, and the jitter covers all of it: what
failed together must not return together.

But a gateway must act on a change by a deadline, whether it has received it or not, and each cause
of a call has a deadline of its own. Where lists are pushed, a change counts as known as soon as
discovery has it. Where gateways poll, one with no watch has the settings' `ask_within`; but once a
call has failed, a change counts as known 6 s after discovery had it and could be reached. What an
unresponsive watch misses, and what a new discovery has, counts as known so many seconds after it.

A call that fails shows little: discovery answers 503 after the same wait whether it is down or has
too many callers, and one that waits there when discovery returns may fail yet. So calls go on, down
or not, at the slowest pace that keeps the deadline: the next begins so soon after the one that
failed began that it can take its time and still be answered. The first such wait is drawn over all
of that, and the later ones keep the fleet as spread as the draw has made it: whenever discovery
comes back, the calls come evenly over the deadline.
"""

from __future__ import annotations

import random
from enum import Enum

# Spread for each gateway's call: lists that come sooner against the load of a whole fleet's calls.
SPREAD_PER_GATEWAY_S = 0.1
# The spread grows to this at least: a few gateways need not hurry a failing service.
MIN_SPREAD_S = 1.0
# Keep-alive time-out of a watch: an empty line is due every 2 s.
WATCH_TIMEOUT_S = 2.5
# Time-out of a response's head: discovery fails a call that waited two or three for its turn.
RESPONSE_TIMEOUT_S = 3.5
# What a watch misses counts as known so long after it became unresponsive.
UNRESPONSIVE_DEADLINE_S = 6.0
# What the new discovery has counts as known so long after SIGHUP.
MOVED_DEADLINE_S = 4.0
# What discovery had, or has from its return on, counts as known so long after a call failed.
FAILED_DEADLINE_S = 6.0
# Time for a call to wait its turn and to be answered: what the spread leaves of each deadline.
CALL_TIME_S = 2.0
# Time of a call at discovery: what a fleet's calls must be spread over if they fail again and
# again.
SERVICE_TIME_S = 0.02
# Least fraction of a further wait: the fleet stays as spread as the first ones have made it.
MIN_JITTER_FRACTION = 0.95
# Fraction of `ask_within`: the rest is for the call, and for changes that have not come yet.
POLL_FRACTION = 0.6
# Wait where lists are pushed: what discovery has at its return counts at once.
PUSHED_RETRY_S = 0.1
# The same after a list that was malformed: the next may be no better.
PUSHED_MALFORMED_RETRY_S = 0.5
# A call that failed sooner took no turn at discovery.
MIN_QUEUED_S = 1.0
# Calls that waited in vain: more in a row than a short outage brings.
MAX_FAILURES_IN_SHORT_OUTAGE = 4
# Least wait where gateways poll, while a deadline is near.
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


# Waits where lists are pushed; none for other causes.
PUSHED_WAITS_S = {
    Cause.ENDED: PUSHED_RETRY_S,
    Cause.UNANSWERED: PUSHED_RETRY_S,
    Cause.FAILED: PUSHED_RETRY_S,
    Cause.MALFORMED: PUSHED_MALFORMED_RETRY_S,
}
# Deadlines that run from the call's cause on.
DEADLINES_S = {
    Cause.UNRESPONSIVE: UNRESPONSIVE_DEADLINE_S - WATCH_TIMEOUT_S,
    # The watch may have become unresponsive as it was made.
    Cause.UNANSWERED: UNRESPONSIVE_DEADLINE_S - RESPONSE_TIMEOUT_S,
    Cause.MOVED: MOVED_DEADLINE_S,
}


class CallPacing:
    """The waits of one gateway before its calls."""

    def __init__(self, gateways: int, list_deadline_s: float, seed: int, *, polls: bool) -> None:
        """The pacing of one gateway.

        Args:
            gateways: How many share the discovery.
            list_deadline_s: The settings' time for a gateway with no watch to get a list.
            seed: Its random source, which must differ among the gateways.
            polls: Whether gateways request lists; else discovery pushes them.
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
        # Calls that failed, one after the other, and those of them that took a turn at discovery.
        self._failures = 0
        self._queued_failures = 0
        # When the list must be here, after an unresponsive watch or a move.
        self._deadline = 0.0

    def wait_s(self, cause: Cause, now: float, took_s: float = 0.0) -> float:
        """How long to wait before the next call.

        Args:
            cause: Why it is made.
            now: The time in seconds of any clock that never goes back.
            took_s: How long the call took that failed.
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
        """The spread after a failed call that took `took_s`.

        At first the deadline runs from the begin of the call that failed. After many that waited in
        vain it runs from the end: it is still kept by the calls that begin after the return, and a
        queue that is too long becomes shorter. Only where the turns of all calls take longer than
        the deadline, which no pace could keep, the calls slow down to the pace of those turns: else
        the queue would stay too long.
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
