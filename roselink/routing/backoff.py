"""Waits between retry groups, and when a refused client is to come back. Seconds throughout."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

FIRST_PART = 1 / 64  # first wait, as part of the aim; it doubles with each group
FIRST_S = 0.008  # first wait where no aim is told
LONGEST_S = 0.25
RETRY_AFTER_S = 0.05  # advice after a refusal in calm times
CROWDED_S = 0.15  # added when every attempt at the service is refused
NO_HOST_S = 0.3  # advice when no host is ready


def backoff_s(groups: int, aim_s: float, draw: random.Random) -> float:
    """The wait after `groups` failed groups (from 1), drawn from half to one and a half of its
    mean.
    """
    first_s = aim_s * FIRST_PART if aim_s > 0 else FIRST_S
    return min(LONGEST_S, first_s * 2.0 ** (groups - 1)) * (0.5 + draw.random())


def retry_after_s(refused_share: float, draw: random.Random) -> float:
    """When to come back, by the share of late attempts that were refused; spread so that none meet
    again.
    """
    return (RETRY_AFTER_S + CROWDED_S * refused_share) * (0.75 + 0.5 * draw.random())
