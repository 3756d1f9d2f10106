"""The state of one tenant's quota at one gateway that requests it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from roselink.budgets.local_admission import LocalAdmission
    from roselink.budgets.usage import QuotaLimit, UsageWindow
    from roselink.protocol.budgets import BucketLevel


@dataclass(slots=True)
class PendingAmount:
    """The amount of one request that waits for its decision until a deadline."""

    number: int
    amount: float
    deadline: float


@dataclass(slots=True)
class InFlightRequest:
    """The quota request in flight, and the `admitted_locally` amount that it reported."""

    call: int
    sent_at: float
    amounts: list[PendingAmount]
    reported_locally: float
    to_self: bool


@dataclass(slots=True)
class TenantState:
    """The state of one tenant at this gateway."""

    limit: QuotaLimit
    usage: UsageWindow
    local: LocalAdmission
    pending: deque[PendingAmount] = field(default_factory=deque)
    in_flight: InFlightRequest | None = None
    last_sent_at: float = float("-inf")
    not_before: float = 0.0
    failures: int = 0
    # Fencing token under which the owner has this gateway's usage report; 0 if it has none.
    reported_token: int = 0
    # Whether that owner is this gateway itself.
    owned_here: bool = False
    # Amount that was admitted locally and that no owner has acknowledged yet.
    admitted_locally: float = 0.0
    # The bucket's level in the last reply, and when that reply was received.
    last_level: tuple[BucketLevel, float] | None = None
    lease: float = 0.0
    lease_expires_at: float = 0.0
    returned: float = 0.0
    usage_fraction: float = 0.0
    # Moving average of request amounts.
    typical_amount: float = 0.0
