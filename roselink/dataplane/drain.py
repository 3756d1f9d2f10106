"""Which requests a draining gateway takes, and when everything has ended. No I/O.

Taken means passed on towards a host. What holds after a SIGTERM:

- T1. A request is taken only if it is served no later than `takes_any_until`, or if its own time
  limit ends before `requests_end_at`.
- T2. Each request that was taken has ended by `requests_end_at`.
- T3. A request that was read and is not taken gets 503 at once, and no host ever gets it.
- T4. A request that crosses the close of a connection that was to stay open is not read.
- T5. No response loses its end because the gateway closes the connection.

Why they hold:

- T2. `limit` shortens the deadline of each request to `requests_end_at`, also that of the requests
  that were open at the SIGTERM; hosts get no more than the rest of it, and the deadline's timer
  ends the request. One taken by its own time limit reaches that first. One taken for its time of
  arrival was sent no later than `EXCUSED_AFTER_SIGTERM_S` after the SIGTERM: sending comes before
  reading, and the loop handles the signal up to `SIGNAL_DELAY_S` late. Only these may be cut by the
  drain, and only in the second half of `grace_s`, which the rules allow.
- T3. `DecisionDriver` asks `may_take` before it charges a quota or calls the decider, so a refused
  request has no attempt and 503 is true. The time of serving counts, not that of reading: a
  request that was pipelined behind a long stream is judged when its turn comes. What has not been
  read whole at `requests_end_at` gets 503 too.
- T4. A head that is written after the SIGTERM says `Connection: close`, unless a further request is
  already here. A head from before it may have promised to keep the connection. Once the listener
  is closed, such a connection is closed in the very step in which its response ends, unless bytes
  of a further request are here (`ServerConnection._response_finished`): there is no moment in
  which it is idle and would read one. A request that crosses this close stays unread
  (`ServerConnection._close`), so its client may send it again, whatever its kind.
- T5. A connection is shut down for sending first; it is closed for good only with nothing unread
  in the kernel and `LINGER_S` after its last response (`ServerConnection.close_finished`,
  `close_idle`), or at its client's end of stream. What remains at `connections_end_at` has had its
  last response `LAST_RESPONSES_S` before.
"""

from __future__ import annotations

from dataclasses import dataclass

# How long connections are accepted after SIGTERM. The platform checks readiness every second and
# sends connections until two checks have failed. A smaller value would refuse connections; a larger
# one would delay the drain.
ACCEPT_AFTER_SIGTERM_S = 2.5
# A request that was sent no later than this after the SIGTERM may be cut by the drain.
EXCUSED_AFTER_SIGTERM_S = 3.0
# Longest time from the signal to the event loop's handler.
SIGNAL_DELAY_S = 0.25
# Part of the grace time that is kept for sending the last responses and for exiting.
EXIT_RESERVE_S = 1.0
# Part of that reserve in which the last responses reach their clients.
LAST_RESPONSES_S = 0.4


@dataclass(frozen=True)
class DrainTimes:
    """The steps of one drain, in loop time.

    Attributes:
        accept_until: connections are accepted until then.
        takes_any_until: requests are taken until then whatever their time limit.
        requests_end_at: every request has its response by then.
        connections_end_at: every connection is closed by then.
    """

    accept_until: float
    takes_any_until: float
    requests_end_at: float
    connections_end_at: float

    @classmethod
    def after_sigterm(cls, now: float, grace_s: float) -> DrainTimes:
        """The steps of a drain that begins at `now`; SIGKILL comes `grace_s` seconds later."""
        accept_until = now + ACCEPT_AFTER_SIGTERM_S
        requests_end_at = max(accept_until, now + grace_s - EXIT_RESERVE_S)
        return cls(
            accept_until,
            now + EXCUSED_AFTER_SIGTERM_S - SIGNAL_DELAY_S,
            requests_end_at,
            requests_end_at + LAST_RESPONSES_S,
        )

    def may_take(self, now: float, expires_at: float) -> bool:
        """Whether a request that is served at `now` is taken; `expires_at` is its own deadline."""
        return now <= self.takes_any_until or expires_at <= self.requests_end_at

    def limit(self, expires_at: float) -> float:
        """The deadline of a request in this drain."""
        return min(expires_at, self.requests_end_at)
