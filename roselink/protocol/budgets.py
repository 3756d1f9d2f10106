"""Records between gateways and the owners of tenants' quotas and services' retry budgets.

Every request has the fencing token (the roster's version) under which the requester considers the
receiver the owner of the key.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from roselink.protocol.records import record


class ReplyStatus(IntEnum):
    """Whether an owner decided a request, or why it did not."""

    DECIDED = 1
    # The requester's token is older than the owner's.
    STALE_TOKEN = 2
    # The requester's token is newer than the owner's, or the owner has no recent confirmation.
    NOT_READY = 3
    # Under the same token another gateway owns the key: the rosters or program versions differ.
    NOT_OWNER = 4
    # The owner has no usage of this requester in its term; repeat the request with a report.
    REPORT_WANTED = 5


@record(96)
@dataclass(frozen=True, slots=True)
class UsageSample:
    """Tokens (`amount`) that were admitted `age_ms` milliseconds ago."""

    age_ms: int
    amount: float


@record(101)
@dataclass(frozen=True, slots=True)
class BucketLevel:
    """The state of an owner's token bucket `age_ms` milliseconds ago.

    `term` identifies that owner's term; `level` is in tokens; `recent_usage` is the usage of all
    gateways that the owner considered live, over the previous window, in tokens.
    """

    term: int
    level: float
    recent_usage: float
    age_ms: int


@record(97)
@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Asks whether these amounts of tokens are admitted now, each decided separately, in order.

    `lease_wanted`: additional tokens to lease. `returned`: tokens admitted or leased earlier and
    not used. `admitted_locally`: tokens that the requester admitted without an owner since an owner
    last replied. `draining`: the requester is draining and admits nothing locally. `last_level`:
    the bucket's level in the last reply. `usage_report`: all that the requester admitted in the
    last window; sent if the owner may not know it.
    """

    tenant: str
    fencing_token: int
    requester: str
    incarnation: int
    amounts: tuple[float, ...]
    lease_wanted: float
    returned: float
    admitted_locally: float
    draining: bool
    last_level: BucketLevel | None
    usage_report: tuple[UsageSample, ...] | None


@record(98)
@dataclass(frozen=True, slots=True)
class QuotaReply:
    """The owner's decisions: `admitted` has one for each amount of the request.

    `lease_granted`: tokens that the requester may use within the lease. `retry_after_s`: the time
    until the first refused amount may be requested again. `usage_fraction`: the requester's
    fraction (0 to 1) of `recent_usage`, the tokens that all live gateways admitted for the tenant
    in the last window. `term` and `level` are the bucket's, after these decisions. `fencing_token`
    is the newest that the owner knows.
    """

    status: ReplyStatus
    fencing_token: int
    admitted: tuple[bool, ...] = ()
    lease_granted: float = 0.0
    retry_after_s: float = 0.0
    usage_fraction: float = 0.0
    term: int = 0
    level: float = 0.0
    recent_usage: float = 0.0


@record(99)
@dataclass(frozen=True, slots=True)
class RetryBudgetRequest:
    """Asks whether one retry may use the service's retry budget."""

    service: str
    fencing_token: int


@record(100)
@dataclass(frozen=True, slots=True)
class RetryBudgetReply:
    """The owner's decision; a refusal is valid for at least `retry_after_s` seconds."""

    status: ReplyStatus
    fencing_token: int
    allowed: bool
    retry_after_s: float = 0.0
