"""Waits between retry groups, and when a rejected client is to come back. Seconds throughout."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# First wait, as a fraction of the route's target latency; it doubles with each failed group.
FIRST_WAIT_FRACTION = 1 / 64
# First wait of a route without a target latency.
FIRST_WAIT_S = 0.008
# Bound on the mean of a wait.
MAX_MEAN_WAIT_S = 0.25
# Advice to a rejected client while no host rejects attempts.
RETRY_AFTER_S = 0.05
# Added to it when every attempt at the service is rejected.
OVERLOAD_RETRY_AFTER_S = 0.15
# Advice when no host is ready.
NO_HOST_RETRY_AFTER_S = 0.3


def backoff_s(failed_groups: int, target_latency_s: float, rng: random.Random) -> float:
    """The wait before the next retry group: exponential backoff with jitter.

    Args:
        failed_groups: Groups that failed so far, from 1.
        target_latency_s: The route's, in seconds; 0 for none.
        rng: Draws the factor of the mean, from 0.5 to 1.5.
    """
    first_s = target_latency_s * FIRST_WAIT_FRACTION if target_latency_s > 0 else FIRST_WAIT_S
    return min(MAX_MEAN_WAIT_S, first_s * 2.0 ** (failed_groups - 1)) * (0.5 + rng.random())


def retry_after_s(rejection_rate: float, rng: random.Random) -> float:
    """When a rejected client is to come back, with jitter so that clients do not return together.

    Args:
        rejection_rate: Fraction of the service's recent attempts that hosts rejected as full.
        rng: Draws the factor, from 0.75 to 1.25.
    """
    advice_s = RETRY_AFTER_S + OVERLOAD_RETRY_AFTER_S * rejection_rate
    return advice_s * (0.75 + 0.5 * rng.random())
