"""Which outcomes may be tried again: by the route's kind, and by what surely did not run."""

from __future__ import annotations

from enum import Enum

from roselink.routing.outcome import NEVER_RAN, Outcome

NEVER_SENT = frozenset({Outcome.CONNECT_FAILED, Outcome.MOOT})


class RetryDecision(Enum):
    """What an outcome means for its request."""

    DONE = "done"
    RETRY = "retry"
    STOP = "stop"


def classify(outcome: Outcome, repeatable: bool, relayed: bool = False) -> RetryDecision:
    """Work that never ran may always be repeated; any failure may where repeats do no harm.

    `relayed`: the client has this very answer already, whatever it was.
    """
    if outcome is Outcome.SUCCESS or relayed:
        return RetryDecision.DONE
    return RetryDecision.RETRY if outcome in NEVER_RAN or repeatable else RetryDecision.STOP
