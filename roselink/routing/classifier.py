"""Which outcomes may be retried: by the route's kind, and by whether the request surely never ran.

`roselink.balancer.outcome_classifier` differs: it derives `repeatable` from the route's effect, and
has no response that was relayed to the client. See docs/decisions.md.
"""

from __future__ import annotations

from enum import Enum

from roselink.routing.outcome import NEVER_RAN, Outcome

NEVER_SENT = frozenset({Outcome.CONNECT_FAILED, Outcome.MOOT})


class RetryDecision(Enum):
    """What an outcome means for its request."""

    # The client has its response.
    DONE = "done"
    RETRY = "retry"
    # Failed, and must not run again.
    STOP = "stop"


def classify(outcome: Outcome, *, repeatable: bool, relayed: bool = False) -> RetryDecision:
    """Decide about a retry: always where nothing ran, otherwise only where repeating is harmless.

    Args:
        outcome: How the attempt ended.
        repeatable: Whether the request may run more than once.
        relayed: Whether the client already has this attempt's response, whatever it was.
    """
    if outcome is Outcome.SUCCESS or relayed:
        return RetryDecision.DONE
    return RetryDecision.RETRY if outcome in NEVER_RAN or repeatable else RetryDecision.STOP
