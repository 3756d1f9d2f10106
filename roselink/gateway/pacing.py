"""When to call discovery: as spread over the fleet as the rules on what counts as told allow, and
no wider.

Discovery is one service for all gateways and handles calls in turn. A call that waits too long
there fails, yet its turn is worked off all the same. Gateways that all call at once, and again soon
after they all failed, thus keep its queue longer than any call may wait, for good. So the time over
which the calls are spread grows with the number of gateways, and the jitter covers all of it: what
failed together must not return together.

But a gateway is held to what it would have been told, and each cause of a call has a bound of its
own. Where lists are pushed, all that discovery has counts as told at once. Where it is asked, a
gateway with no watch has the settings' time for asking; but once a call has failed, a change counts
as told 6 s after discovery had it and could be reached. What a silent watch misses, and what a new
discovery tells, counts as told so many seconds after it.

A call that fails tells little: discovery answers 503 after the same wait whether it is down or has
too many callers, and one that waits there when discovery returns may fail yet. So calls go on, down
or not, at the slowest pace that keeps the bound: the next begins so soon after the one that failed
began that it can take its time and still be answered. The first such wait is drawn over all of
that, and the later ones keep the fleet as spread as the draw has made it: whenever discovery comes
back, the calls come evenly over the bound.
"""

from __future__ import annotations

import random
from enum import Enum

SLOT_S = (
    0.1  # for each gateway's call: lists that come sooner against the load of a whole fleet's calls
)
SPREAD_LEAST_S = (
    1.0  # the spread grows to this at least: a few gateways need not hurry a service in trouble
)
SILENCE_S = 2.5  # with no sign of life a watch is broken: an empty line is due every 2 s
ANSWER_S = 3.5  # for an answer's head: discovery fails a call that waited two or three for its turn
SILENT_TOLD_S = 6.0  # after a watch fell silent, what it misses counts as told
MOVED_TOLD_S = 4.0  # after SIGHUP, what the new discovery has counts as told
FAILED_TOLD_S = (
    6.0  # after a call failed, what discovery had, or has from its return on, counts as told
)
CALL_S = 2.0  # for a call to wait its turn and to be answered: what the spread leaves of each bound
# of a call at discovery: what a fleet's calls must be spread over if they fail again and again
TURN_S = 0.02
STEADY_PART = (
    0.95  # least part of a further wait: the fleet stays as spread as the first ones have made it
)
ASKING_PART = 0.6  # of the time for asking: the rest is for the call, and for changes not told yet
PUSHED_AGAIN_S = 0.1  # where lists are pushed: what discovery has at its return counts at once
REFUSED_AGAIN_S = 0.5  # the same after a list that made no sense: the next may be no better
WAITED_S = 1.0  # a call that failed sooner took no turn there
PATIENT_FAILURES = 4  # calls that waited in vain: more in a row than a short outage brings
AGAIN_LEAST_S = 0.25  # the same where it is asked, while a bound is near


class Cause(Enum):
    """Why discovery is called."""

    START = "start"
    MOVED = "another discovery"
    ENDED = "the watch ended"
    SILENT = "the watch fell silent"
    UNANSWERED = "the call brought nothing at all"
    FAILED = "the call failed"
    REFUSED = "its list made no sense"


PUSHED_PAUSES_S = {
    Cause.ENDED: PUSHED_AGAIN_S,
    Cause.UNANSWERED: PUSHED_AGAIN_S,
    Cause.FAILED: PUSHED_AGAIN_S,
    Cause.REFUSED: REFUSED_AGAIN_S,
}
BOUNDS_S = {  # from the call's cause on
    Cause.SILENT: SILENT_TOLD_S - SILENCE_S,
    Cause.UNANSWERED: SILENT_TOLD_S - ANSWER_S,  # it may have fallen silent as it was made
    Cause.MOVED: MOVED_TOLD_S,
}


class CallPacing:
    """The waits of one gateway before its calls."""

    def __init__(self, gateways: int, asks: bool, ask_within_s: float, seed: int) -> None:
        self._slot_s, self._asks = SLOT_S * gateways, asks
        self._in_time_s = FAILED_TOLD_S - CALL_S
        self._lost_most_s = min(ASKING_PART * ask_within_s, self._in_time_s)
        self._failed_s = min(max(SPREAD_LEAST_S, 4 * self._slot_s), self._in_time_s)
        self._failed_most_s = max(self._failed_s, TURN_S * gateways)
        self._random = random.Random(seed)
        self._failures = self._waited = (
            0  # calls that failed, one after the other; those that took a turn
        )
        self._told_at = (
            0.0  # until then the list must be here: the bound of a silent watch or a move
        )

    def wait_s(self, cause: Cause, now: float, took_s: float = 0.0) -> float:
        """Before the next call, from now on; `now` on any clock that never goes back. `took_s` is
        how long the call took that failed.
        """
        self._failures = self._failures + 1 if cause is Cause.FAILED else 0
        self._waited = self._waited + (took_s >= WAITED_S) if cause is Cause.FAILED else 0
        draw = self._random.random()
        if not self._asks:
            return PUSHED_PAUSES_S.get(cause, 0.0) * (0.5 + 0.5 * draw)
        if cause in BOUNDS_S:
            self._told_at = now + BOUNDS_S[cause]
        elif cause is not Cause.FAILED:
            self._told_at = 0.0
        if self._failures > 1 and now >= self._told_at:
            draw = STEADY_PART + (1.0 - STEADY_PART) * draw
        return draw * self._spread_s(cause, now, took_s)

    def _spread_s(self, cause: Cause, now: float, took_s: float) -> float:
        if now < self._told_at:
            return min(self._slot_s, max(AGAIN_LEAST_S, self._told_at - now - CALL_S))
        if cause is Cause.FAILED:
            return self._failed_spread_s(took_s)
        least_s = SPREAD_LEAST_S if cause is Cause.REFUSED else 0.0
        return min(max(least_s, self._slot_s), self._lost_most_s)

    def _failed_spread_s(self, took_s: float) -> float:
        """At first the bound runs from the begin of the call that failed. After many that waited in
        vain it runs from the end: it is still kept by the calls that begin after the return, and a
        queue that is too long becomes shorter. Only where the turns of all calls take longer than
        the bound, which no pace could keep, the calls slow down to the pace of those turns: else
        the queue would stay too long.
        """
        over = self._waited - PATIENT_FAILURES
        if over < 0:
            return max(AGAIN_LEAST_S, min(self._failed_s, self._in_time_s - took_s))
        return min(self._failed_s * 2.0 ** min(over, 16), self._failed_most_s)
