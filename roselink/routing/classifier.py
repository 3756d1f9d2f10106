"""Which outcomes may be retried, by the route's kind and whether the request certainly never ran.

`roselink.balancer.outcome_classifier` differs: it derives `repeatable` from the route's effect, and
does not know of responses already relayed to the client. See docs/decisions.md.
"""

from __future__ import annotations

from enum import Enum

from roselink.routing.outcome import NEVER_RAN, Outcome

# Outcomes of attempts that ended before anything was sent.
NEVER_SENT = frozenset({Outcome.CONNECT_FAILED, Outcome.MOOT})


class RetryDecision(Enum):
    """What an outcome means for its request."""

    # The client already has its response.
    DONE = "done"
    RETRY = "retry"
    # The attempt failed, and the request must not run again.
    STOP = "stop"


def classify(outcome: Outcome, *, repeatable: bool, relayed: bool = False) -> RetryDecision:
    """Decide whether to retry: always if nothing ran, otherwise only if the request is repeatable.

    Args:
        outcome: How the attempt ended.
        repeatable: Whether the request may run more than once.
        relayed: Whether this attempt's response was already sent to the client, even if an error.
    """
    if outcome is Outcome.SUCCESS or relayed:
        return RetryDecision.DONE
    return RetryDecision.RETRY if outcome in NEVER_RAN or repeatable else RetryDecision.STOP
