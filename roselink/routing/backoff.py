"""Backoff between retry groups, and `Retry-After` for rejected clients; all times in seconds."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

# First backoff, as a fraction of the route's target latency; it doubles with each failed group. A
# larger one retries later; a smaller one adds load to a service that has just failed.
FIRST_WAIT_FRACTION = 1 / 64
# First backoff of a route without a target latency.
FIRST_WAIT_S = 0.008
# Bound on the mean backoff.
MAX_MEAN_WAIT_S = 0.25
# Retry-After for a rejected client while no host rejects attempts.
RETRY_AFTER_S = 0.05
# Addition to `RETRY_AFTER_S` in proportion to the rejection rate; in full when hosts reject every
# attempt.
OVERLOAD_RETRY_AFTER_S = 0.15
# Retry-After when no host is ready.
NO_HOST_RETRY_AFTER_S = 0.3


def backoff_s(failed_groups: int, target_latency_s: float, rng: random.Random) -> float:
    """The delay before the next retry group: exponential backoff with jitter.

    Args:
        failed_groups: Number of groups that have failed, at least 1.
        target_latency_s: The route's target latency, in seconds; 0 for none.
        rng: Source of the jitter, a factor from 0.5 to 1.5 of the mean.
    """
    first_s = target_latency_s * FIRST_WAIT_FRACTION if target_latency_s > 0 else FIRST_WAIT_S
    return min(MAX_MEAN_WAIT_S, first_s * 2.0 ** (failed_groups - 1)) * (0.5 + rng.random())


def retry_after_s(rejection_rate: float, rng: random.Random) -> float:
    """The `Retry-After` of a rejected client, with jitter so that clients do not retry in step.

    Args:
        rejection_rate: Fraction of the service's recent attempts that hosts rejected as full.
        rng: Source of the jitter, a factor from 0.75 to 1.25.
    """
    advice_s = RETRY_AFTER_S + OVERLOAD_RETRY_AFTER_S * rejection_rate
    return advice_s * (0.75 + 0.5 * rng.random())
